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
    command{"load", "send a deployment's traffic to running instances",
            run_load},
    command{"replay", "replay recorded traces and compare the decisions",
            run_replay},
    command{"losses", "show from logs which requests were lost, and why",
            run_losses},
};

bool is_help_option(std::string const& arg)
{
    return arg == "--help" || arg == "-h" || arg == "help";
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

exit_code run_subcommand(std::string_view title, std::span<command const> table,
                         arguments const& args, console const& output)
{
    if (args.empty())
    {
        print_help(title, table, output.m_error);
        return exit_code::usage;
    }
    if (is_help_option(args.front()))
    {
        print_help(title, table, output.m_out);
        return exit_code::done;
    }
    auto const it = std::find_if(table.begin(), table.end(),
                                 [&args](command const& each)
                                 { return each.m_name == args.front(); });
    if (it == table.end())
    {
        output.m_error << title << ": there is no command \"" << args.front()
                       << "\"; see --help\n";
        return exit_code::usage;
    }
    return it->m_run({args.begin() + 1, args.end()}, output);
}

exit_code run_command(arguments const& args, console const& output)
{
    return run_subcommand("camphortide", commands, args, output);
}

} // namespace camphortide::command_line
