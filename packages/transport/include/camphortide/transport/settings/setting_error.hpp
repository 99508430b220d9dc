#pragma once

#include <compare>
#include <string>
#include <string_view>
#include <vector>

namespace camphortide::transport
{

/// Why a setting is rejected.
enum class setting_error_kind
{
    unreadable_file,
    malformed_json,
    unknown_key,
    repeated_key,
    missing_key,
    wrong_type,
    wrong_unit,
    bad_format,
    out_of_range,
    conflict ///< contradicts another setting
};

/// @return the name used in messages
std::string_view to_string(setting_error_kind value);

/// An error in a settings, deployment or catalogue file, or on a command line.
struct setting_error
{
    std::string m_file;     ///< path, or "command line"
    std::string m_key_path; ///< for example "groups[0].slots"
    setting_error_kind m_kind = setting_error_kind::wrong_type;
    std::string m_expected; ///< the expected value or format
    std::string m_found;    ///< the rejected value as written; may be empty

    friend auto operator<=>(setting_error const&,
                            setting_error const&) = default;
};

/// @return one line with the file, the key, the kind of error and the expected
///     value
std::string to_string(setting_error const& error);

/// A parsed value with every error found while reading it.
template <typename Value>
struct checked
{
    Value m_value;
    std::vector<setting_error> m_errors;

    /// @return true if there is no error and the value can be used
    bool ok() const { return m_errors.empty(); }
};

} // namespace camphortide::transport
