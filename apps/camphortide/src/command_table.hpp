#pragma once

#include "command.hpp"

#include <span>

namespace camphortide::command_line
{

/// Looks up a command by the first argument and runs it with the others.
/// @param title the command line up to the subcommand, for the help text
/// @param table the commands
/// @param args the name of the command, followed by its arguments
/// @param output the output streams
/// @return the exit code of the command; exit_code::usage if there is no such
///     command
exit_code run_subcommand(std::string_view title, std::span<command const> table,
                         arguments const& args, console const& output);

/// Runs the command line.
/// @param args the arguments without the program name
/// @param output the output streams
exit_code run_command(arguments const& args, console const& output);

} // namespace camphortide::command_line
