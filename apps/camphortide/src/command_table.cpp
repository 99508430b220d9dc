#include "command_table.hpp"

#include "commands.hpp"

#include <algorithm>
#include <array>
#include <cstddef>
#include <iomanip>

namespace camphortide::command_line
{

namespace
{

constexpr int name_width = 12;

constexpr std::array commands{
    command{"check", "check settings, deployment and catalogue files",
            run_check},
    command{"catalogue", "get, compare, change and trace the catalogue",
            run_catalogue},
    command{"stop", "plan, list and cancel planned stops", run_stop},
    command{"status", "show instances, groups, members and the catalogue",
            run_status},
    command{"demo", "run a deployment in this process and check the promises",
            run_demo},
    command{"load", "play a deployment's callers against running instances",
            run_load},
    command{"replay", "feed recorded traces to the decisions and compare",
            run_replay},
};

bool asks_for_help(std::string const& word)
{
    return word == "--help" || word == "-h" || word == "help";
}

void print_help(std::string_view title, std::span<command const> table,
                std::ostream& out)
{
    out << "Usage: " << title << " COMMAND [options]\n\nCommands:\n";
    for (auto const& each : table)
    {
        out << "  " << std::left << std::setw(name_width) << each.m_name << ' '
            << each.m_summary << '\n';
    }
    out << "\n`" << title << " COMMAND --help` explains a command.\n"
        << "Exit codes: 0 done, 1 refused or promise broken, 2 usage.\n";
}

} // namespace

exit_code run_from(std::string_view title, std::span<command const> table,
                   arguments const& words, console const& to)
{
    if (words.empty())
    {
        print_help(title, table, to.m_error);
        return exit_code::usage;
    }
    if (asks_for_help(words.front()))
    {
        print_help(title, table, to.m_out);
        return exit_code::done;
    }
    auto const place = std::find_if(table.begin(), table.end(),
                                    [&words](command const& each)
                                    { return each.m_name == words.front(); });
    if (place == table.end())
    {
        to.m_error << title << ": there is no command \"" << words.front()
                   << "\"; see --help\n";
        return exit_code::usage;
    }
    return place->m_run({words.begin() + 1, words.end()}, to);
}

exit_code run_command(arguments const& words, console const& to)
{
    return run_from("camphortide", commands, words, to);
}

} // namespace camphortide::command_line
