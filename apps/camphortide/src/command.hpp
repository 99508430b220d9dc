#pragma once

#include <ostream>
#include <string>
#include <string_view>
#include <vector>

/// The operators' command line.
namespace camphortide::command_line
{

/// What the process tells the shell.
enum class exit_code
{
    done = 0,
    refused = 1, ///< refused, failed, or a promise was broken
    usage = 2    ///< the command line or a file is wrong
};

/// Where a command writes.
struct console
{
    std::ostream& m_out;
    std::ostream& m_error;
};

/// The words after a command's name.
using arguments = std::vector<std::string>;

/// One command of the table.
struct command
{
    std::string_view m_name;
    std::string_view m_summary; ///< one line
    exit_code (*m_run)(arguments const& args, console const& output);
};

} // namespace camphortide::command_line
