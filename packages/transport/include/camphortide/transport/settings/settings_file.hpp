#pragma once

#include <string>
#include <vector>

#include <camphortide/transport/settings/instance_settings.hpp>
#include <camphortide/transport/settings/setting_error.hpp>

namespace camphortide::transport
{

/// A setting given on the command line; takes precedence over the file.
struct setting_override
{
    std::string m_key; ///< for example "listen.callers"
    std::string m_value;

    friend auto operator<=>(setting_override const&,
                            setting_override const&) = default;
};

/// Reads and validates the settings of an instance.
/// @param path path of the file, JSON with comments; empty: only the overrides
///     apply
/// @param overrides settings of the command line
/// @return the settings with every error found
checked<instance_settings>
read_instance_settings(std::string const& path,
                       std::vector<setting_override> const& overrides);

/// Parses and validates the text of a settings file.
/// @param file file name for error messages
/// @param text JSON with comments
/// @param overrides settings of the command line
/// @return the settings with every error found
checked<instance_settings>
parse_instance_settings(std::string const& file, std::string const& text,
                        std::vector<setting_override> const& overrides);

/// A row of the reference table of settings.
struct setting_row
{
    std::string m_key;
    std::string m_type; ///< type, unit and range
    std::string m_default;
    std::string m_help;

    friend auto operator<=>(setting_row const&, setting_row const&) = default;
};

/// @return a row for every setting of an instance, in the order of the schema
std::vector<setting_row> instance_setting_rows();

/// @return the settings reference for operators, in Markdown
std::string instance_settings_page();

} // namespace camphortide::transport
