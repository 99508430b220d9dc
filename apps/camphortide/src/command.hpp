#pragma once

#include <ostream>
#include <string>
#include <string_view>
#include <vector>

/// The command-line tool for operators.
namespace camphortide::command_line
{

/// The exit codes of the process.
enum class exit_code
{
    done = 0,
    refused = 1, ///< refused, failed, or a promise was broken
    usage = 2    ///< invalid command line or file
};

/// The output streams of a command.
struct console
{
    std::ostream& m_out;
    std::ostream& m_error;
};

/// The arguments after the name of a command.
using arguments = std::vector<std::string>;

/// An entry of a command table.
struct command
{
    std::string_view m_name;
    std::string_view m_summary; ///< one line
    exit_code (*m_run)(arguments const& args, console const& output);
};

} // namespace camphortide::command_line
