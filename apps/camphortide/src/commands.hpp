#pragma once

#include "command.hpp"

namespace camphortide::command_line
{

/// `check FILE...`: finds every fault of settings, deployment and catalogue
/// files.
exit_code run_check(arguments const& words, console const& to);

/// `catalogue get|diff|apply|resolve|history`: the catalogue in the store.
exit_code run_catalogue(arguments const& words, console const& to);

/// `stop plan|list|cancel`: planned stops.
exit_code run_stop(arguments const& words, console const& to);

/// `status`: shows what an instance knows of the system.
exit_code run_status(arguments const& words, console const& to);

/// `demo`: runs a deployment in this process under load and faults.
exit_code run_demo(arguments const& words, console const& to);

/// `load ADDRESS...`: plays a deployment's callers against instances.
exit_code run_load(arguments const& words, console const& to);

/// `replay PATH...`: replays recorded traces.
exit_code run_replay(arguments const& words, console const& to);

} // namespace camphortide::command_line
