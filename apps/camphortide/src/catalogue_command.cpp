#include "catalogue_commands.hpp"
#include "command_table.hpp"
#include "commands.hpp"
#include "stored_catalogue.hpp"
#include "text_table.hpp"

#include <array>

#include <camphortide/transport/settings/catalogue_file.hpp>

namespace camphortide::command_line
{

namespace
{

constexpr std::array catalogue_commands{
    command{"get", "print the stored catalogue as a file", run_catalogue_get},
    command{"diff", "show what applying a file would change",
            run_catalogue_diff},
    command{"apply",
            "update the stored catalogue to that of a file, atomically",
            run_catalogue_apply},
    command{"resolve",
            "print the outcome of a change, and bar it if it was "
            "not accepted",
            run_catalogue_resolve},
    command{"history", "show the latest changes", run_catalogue_history},
};

std::string records_text(std::vector<std::string> const& records)
{
    std::string text;
    for (auto const& record : records)
    {
        text += text.empty() ? "" : " ";
        text += record;
    }
    return text;
}

} // namespace

exit_code run_catalogue(arguments const& args, console const& output)
{
    return run_subcommand("camphortide catalogue", catalogue_commands, args,
                          output);
}

exit_code run_catalogue_get(arguments const& args, console const& output)
{
    option_parser parser("catalogue get [options]",
                         "Prints the stored catalogue as a file for `catalogue "
                         "apply`.");
    blocking_platform_client::add_options(parser);
    if (auto const ended = parser.parse(args, output))
    {
        return *ended;
    }
    blocking_platform_client platform(parser);
    auto const stored = read_catalogue(platform);
    if (!stored.ok())
    {
        return platform.report(stored.status(), output);
    }
    output.m_out << transport::write_catalogue(stored->m_catalogue);
    return exit_code::done;
}

exit_code run_catalogue_history(arguments const& args, console const& output)
{
    option_parser parser("catalogue history [options]",
                         "Shows the latest changes, newest last.");
    blocking_platform_client::add_options(parser);
    if (auto const ended = parser.parse(args, output))
    {
        return *ended;
    }
    blocking_platform_client platform(parser);
    auto const stored = read_catalogue(platform);
    if (!stored.ok())
    {
        return platform.report(stored.status(), output);
    }
    text_table table({"version", "change", "operator", "records"});
    for (auto const& each : stored->m_head.m_history)
    {
        table.add({std::to_string(each.m_stamp.m_version),
                   each.m_stamp.m_change, each.m_stamp.m_operator,
                   records_text(each.m_records)});
    }
    output.m_out << table.text();
    return exit_code::done;
}

} // namespace camphortide::command_line
