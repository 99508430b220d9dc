#include "value_reader.hpp"

#include <array>
#include <sstream>

#include <boost/program_options.hpp>

#include <camphortide/transport/settings/settings_arguments.hpp>

namespace camphortide::transport
{

namespace
{

namespace options = boost::program_options;

/// An option that stands for a setting.
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
        "KEY=VALUE, goes before the file; may be repeated");
    for (auto const& each : common_options)
    {
        add(each.m_option, options::value<std::string>(), each.m_help);
    }
    return all;
}

void take_override(settings_arguments& result, std::string const& text)
{
    auto const equals = text.find('=');
    if (equals == std::string::npos || equals == 0)
    {
        result.m_errors.push_back({std::string(command_line_name), "--set",
                                   setting_fault::bad_format, "KEY=VALUE",
                                   in_quotes(text)});
        return;
    }
    result.m_overrides.push_back(
        {text.substr(0, equals), text.substr(equals + 1)});
}

void take(settings_arguments& result, options::variables_map const& given)
{
    result.m_help = given.count("help") > 0;
    result.m_version = given.count("version") > 0;
    if (given.count("settings") > 0)
    {
        result.m_settings_path = given["settings"].as<std::string>();
    }
    for (auto const& each : common_options)
    {
        if (given.count(each.m_option) > 0)
        {
            result.m_overrides.push_back(
                {each.m_key, given[each.m_option].as<std::string>()});
        }
    }
    if (given.count("set") > 0)
    {
        for (auto const& text : given["set"].as<std::vector<std::string>>())
        {
            take_override(result, text);
        }
    }
}

} // namespace

settings_arguments
parse_settings_arguments(std::vector<std::string> const& arguments)
{
    settings_arguments result;
    options::variables_map given;
    try
    {
        options::store(options::command_line_parser(arguments)
                           .options(make_description())
                           .positional({})
                           .run(),
                       given);
        take(result, given);
    }
    catch (options::error const& error)
    {
        result.m_errors.push_back(
            {std::string(command_line_name), "", setting_fault::bad_format,
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
