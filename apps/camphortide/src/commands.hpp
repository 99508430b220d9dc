#pragma once

#include "command.hpp"

namespace camphortide::command_line
{

/// `check FILE...`: validates settings, deployment and catalogue files.
exit_code run_check(arguments const& args, console const& output);

/// `catalogue get|diff|apply|resolve|history`: manages the catalogue in the
/// store.
exit_code run_catalogue(arguments const& args, console const& output);

/// `stop plan|list|cancel`: manages planned stops.
exit_code run_stop(arguments const& args, console const& output);

/// `status`: shows the state of the system as seen by an instance.
exit_code run_status(arguments const& args, console const& output);

/// `demo`: runs a deployment in this process under load and faults.
exit_code run_demo(arguments const& args, console const& output);

/// `load ADDRESS...`: sends the traffic of a deployment's callers to instances.
exit_code run_load(arguments const& args, console const& output);

/// `replay PATH...`: replays recorded traces.
exit_code run_replay(arguments const& args, console const& output);

/// `losses FILE...`: shows from logs which requests were lost, and why.
exit_code run_losses(arguments const& args, console const& output);

} // namespace camphortide::command_line
