#pragma once

#include "command.hpp"

#include <camphortide/load/history/request_record.hpp>
#include <camphortide/transport/settings/deployment.hpp>

namespace camphortide::command_line
{

/// Runs the stand-ins of a deployment's platform and groups without any
/// instance, so that instances can be started as separate processes. Prints the
/// address of the platform.
/// @param value the deployment
/// @param duration how long the stand-ins run
exit_code serve_stand_ins(transport::deployment value, load::run_time duration,
                          console const& output);

} // namespace camphortide::command_line
