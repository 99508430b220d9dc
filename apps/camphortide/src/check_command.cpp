#include "commands.hpp"
#include "option_parser.hpp"

#include <camphortide/transport/settings/file_kind.hpp>
#include <camphortide/transport/settings/settings_file.hpp>

namespace camphortide::command_line
{

namespace
{

constexpr char const* explanation =
    "Checks settings, deployment and catalogue files. The kind is detected\n"
    "from the keys. Every error in every file is printed, one per line.";

/// @return whether the file is valid
bool check_file(std::string const& path, console const& output)
{
    auto const result = transport::check_file(path);
    for (auto const& error : result.m_errors)
    {
        output.m_error << to_string(error) << '\n';
    }
    if (result.ok())
    {
        output.m_out << path << ": valid " << to_string(result.m_value)
                     << " file\n";
    }
    return result.ok();
}

} // namespace

exit_code run_check(arguments const& args, console const& output)
{
    option_parser parser("check FILE...", explanation);
    parser.add()("reference", "print the reference of an instance's settings");
    parser.positional("file", -1);
    if (auto const ended = parser.parse(args, output))
    {
        return *ended;
    }
    if (parser.has("reference"))
    {
        output.m_out << transport::instance_settings_page();
        return exit_code::done;
    }
    if (!parser.has("file"))
    {
        output.m_error << "camphortide: check needs a file\n";
        return exit_code::usage;
    }
    bool valid = true;
    for (auto const& path : parser.get<std::vector<std::string>>("file"))
    {
        valid = check_file(path, output) && valid;
    }
    return valid ? exit_code::done : exit_code::refused;
}

} // namespace camphortide::command_line
