#include "error_reporter.hpp"

#include <array>
#include <sstream>

#include <boost/program_options.hpp>

#include <camphortide/transport/settings/settings_arguments.hpp>

namespace camphortide::transport
{

namespace
{

namespace options = boost::program_options;

/// A command-line option that sets one setting.
struct common_option
{
    char const* m_option;
    char const* m_key;
    char const* m_help;
};

constexpr std::array<common_option, 8> common_options{
    {{"name", "name", "name of this instance"},
     {"data-centre", "data_centre", "data centre of this instance"},
     {"listen-callers", "listen.callers", "IP:PORT for callers"},
     {"listen-peers", "listen.peers", "IP:PORT for other instances"},
     {"listen-admin", "listen.admin", "IP:PORT for operators"},
     {"platform", "platform.address", "IP:PORT of the platform"},
     {"log-directory", "log.directory", "folder of the log files"},
     {"log-level", "log.level", "info, warning or error"}}};

options::options_description make_description()
{
    options::options_description all("Options");
    auto add = all.add_options();
    add("help,h", "print this help");
    add("version", "print the version");
    add("settings,s", options::value<std::string>(), "settings file");
    add("set", options::value<std::vector<std::string>>()->composing(),
        "KEY=VALUE, overrides the file; may be repeated");
    for (auto const& each : common_options)
    {
        add(each.m_option, options::value<std::string>(), each.m_help);
    }
    return all;
}

void add_override(settings_arguments& result, std::string const& text)
{
    auto const equals = text.find('=');
    if (equals == std::string::npos || equals == 0)
    {
        result.m_errors.push_back({std::string(command_line_name), "--set",
                                   setting_error_kind::bad_format, "KEY=VALUE",
                                   in_quotes(text)});
        return;
    }
    result.m_overrides.push_back(
        {text.substr(0, equals), text.substr(equals + 1)});
}

void collect_options(settings_arguments& result,
                     options::variables_map const& values)
{
    result.m_help = values.count("help") > 0;
    result.m_version = values.count("version") > 0;
    if (values.count("settings") > 0)
    {
        result.m_settings_path = values["settings"].as<std::string>();
    }
    for (auto const& each : common_options)
    {
        if (values.count(each.m_option) > 0)
        {
            result.m_overrides.push_back(
                {each.m_key, values[each.m_option].as<std::string>()});
        }
    }
    if (values.count("set") > 0)
    {
        for (auto const& text : values["set"].as<std::vector<std::string>>())
        {
            add_override(result, text);
        }
    }
}

} // namespace

settings_arguments
parse_settings_arguments(std::vector<std::string> const& arguments)
{
    settings_arguments result;
    options::variables_map values;
    try
    {
        options::store(options::command_line_parser(arguments)
                           .options(make_description())
                           .positional({})
                           .run(),
                       values);
        collect_options(result, values);
    }
    catch (options::error const& error)
    {
        result.m_errors.push_back(
            {std::string(command_line_name), "", setting_error_kind::bad_format,
             "the options that --help lists", error.what()});
    }
    return result;
}

std::string settings_arguments_help()
{
    std::ostringstream text;
    text << "Usage: camphortided --settings FILE [options]\n\n"
         << make_description() << "\nSettings are checked as a whole before "
         << "anything starts.\nExit codes: 0 done, 1 refused, 2 usage or "
         << "settings.\n";
    return text.str();
}

} // namespace camphortide::transport
