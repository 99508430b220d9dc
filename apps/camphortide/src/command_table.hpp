#pragma once

#include "command.hpp"

#include <span>

namespace camphortide::command_line
{

/// Finds a command by its first word and runs it with the others.
/// @param title the words that lead to the table, for its help
/// @param table the commands
/// @param words the command's name and its own words
/// @param to where it writes
/// @return the command's result; usage if there is no such command
exit_code run_subcommand(std::string_view title, std::span<command const> table,
                         arguments const& args, console const& output);

/// Runs the command line.
/// @param words without the program's name
/// @param to where it writes
exit_code run_command(arguments const& args, console const& output);

} // namespace camphortide::command_line
