#pragma once

#include "option_parser.hpp"

#include <camphortide/load/history/request_record.hpp>

namespace camphortide::command_line
{

/// Adds the options that `demo` and `load` share: the deployment, the duration
/// and the outputs.
void add_run_options(option_parser& parser);

/// @param value a duration in seconds
load::run_time to_run_time(double value);

} // namespace camphortide::command_line
