#pragma once

#include "option_parser.hpp"

#include <camphortide/load/history/request_record.hpp>

namespace camphortide::command_line
{

/// Adds the options that `demo` and `load` share: what is played, how long,
/// and where the results go.
void add_run_options(option_parser& parser);

/// @param value in seconds
load::run_time to_run_time(double value);

} // namespace camphortide::command_line
