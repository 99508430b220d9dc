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

/// Reads a bundled deployment or a deployment file.
/// @param name "caxias-serrana", "bajio" or the path of a file
/// @return the deployment; nullopt if it is invalid, after its errors were
///     printed
std::optional<transport::deployment> read_deployment(std::string const& name,
                                                     console const& output);

/// @return a handler that updates one line of progress on stderr, or does
///     nothing if stderr is not a terminal
load::progress_handler progress_on_terminal(load::run_time duration,
                                            console const& output);

/// @return the command line that repeats the run
std::string command_text(std::string const& name, arguments const& args);

/// Writes a result in the formats that the options `json`, `report` and
/// `history` select.
/// @return exit_code::refused if a promise was broken or a file cannot be
///     written
exit_code print_result(load::report_title const& title,
                       load::run_result const& result,
                       option_parser const& parser, console const& output);

} // namespace camphortide::command_line
