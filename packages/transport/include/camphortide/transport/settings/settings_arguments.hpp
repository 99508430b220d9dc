#pragma once

#include <string>
#include <vector>

#include <camphortide/transport/settings/settings_file.hpp>

namespace camphortide::transport
{

/// What an instance's command line asks for.
struct settings_arguments
{
    std::string m_settings_path;
    std::vector<setting_override> m_overrides;
    bool m_help = false;
    bool m_version = false;
    std::vector<setting_error> m_errors; ///< of the command line itself

    friend auto operator<=>(settings_arguments const&,
                            settings_arguments const&) = default;
};

/// Reads an instance's command line: `--settings FILE`, `--set KEY=VALUE`,
/// and the options of the common settings.
/// @param arguments without the program's name
/// @return what it asks for; unknown options are among the errors
settings_arguments
parse_settings_arguments(std::vector<std::string> const& arguments);

/// @return the help text of an instance's command line
std::string settings_arguments_help();

} // namespace camphortide::transport
