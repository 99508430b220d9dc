#pragma once

#include <string>
#include <vector>

#include <camphortide/transport/settings/instance_settings.hpp>
#include <camphortide/transport/settings/setting_error.hpp>

namespace camphortide::transport
{

/// One setting given on the command line; goes before the file.
struct setting_override
{
    std::string m_key; ///< for example "listen.callers"
    std::string m_value;

    friend auto operator<=>(setting_override const&,
                            setting_override const&) = default;
};

/// Reads and checks an instance's settings.
/// @param path a file of JSON with comments; empty: only the overrides count
/// @param overrides settings of the command line
/// @return the settings with every fault found
checked<instance_settings>
read_instance_settings(std::string const& path,
                       std::vector<setting_override> const& overrides);

/// Reads and checks settings held in memory.
/// @param file the name that errors carry
/// @param text JSON with comments
/// @param overrides settings of the command line
/// @return the settings with every fault found
checked<instance_settings>
parse_instance_settings(std::string const& file, std::string const& text,
                        std::vector<setting_override> const& overrides);

/// One row of the settings' reference.
struct setting_row
{
    std::string m_key;
    std::string m_type; ///< with unit and range
    std::string m_default;
    std::string m_help;

    friend auto operator<=>(setting_row const&, setting_row const&) = default;
};

/// @return every setting of an instance, in the order of the table
std::vector<setting_row> instance_setting_rows();

/// @return the operators' page of settings, in Markdown
std::string instance_settings_page();

} // namespace camphortide::transport
