#pragma once

#include <string>
#include <vector>

#include <camphortide/transport/settings/settings_file.hpp>

namespace camphortide::transport
{

/// The parsed command line of an instance.
struct settings_arguments
{
    std::string m_settings_path;
    std::vector<setting_override> m_overrides;
    bool m_help = false;
    bool m_version = false;
    std::vector<setting_error> m_errors; ///< errors of the command line itself

    friend auto operator<=>(settings_arguments const&,
                            settings_arguments const&) = default;
};

/// Parses the command line of an instance: `--settings FILE`, `--set
/// KEY=VALUE`, and the options for common settings.
/// @param arguments the arguments without the program name
/// @return the parsed command line; unknown options are reported in m_errors
settings_arguments
parse_settings_arguments(std::vector<std::string> const& arguments);

/// @return the help text of an instance's command line
std::string settings_arguments_help();

} // namespace camphortide::transport
