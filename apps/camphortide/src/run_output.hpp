#pragma once

#include "command.hpp"
#include "option_parser.hpp"

#include <optional>
#include <string>

#include <camphortide/load/demo/demo_run.hpp>
#include <camphortide/load/report/run_report.hpp>
#include <camphortide/transport/settings/deployment.hpp>

namespace camphortide::command_line
{

/// Reads a deployment that ships with the program, or a file.
/// @param name "caxias-serrana", "bajio" or a path
/// @return the deployment; nothing after its faults were printed
std::optional<transport::deployment> read_deployment(std::string const& name,
                                                     console const& output);

/// @return prints one line again and again if the error stream is a terminal
load::progress_handler progress_on_terminal(load::run_time duration,
                                            console const& output);

/// @return the command as it can be typed again
std::string command_text(std::string const& name, arguments const& args);

/// Prints a result as the options `json` and `report` ask for.
/// @return refused if a promise was broken or the page can't be written
exit_code print_result(load::report_title const& title,
                       load::run_result const& result,
                       option_parser const& parser, console const& output);

} // namespace camphortide::command_line
