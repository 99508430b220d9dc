#pragma once

#include <compare>
#include <string>
#include <string_view>
#include <vector>

namespace camphortide::transport
{

/// What is wrong with a setting.
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
    conflict ///< does not fit another setting
};

/// @return the fault's name as messages print it
std::string_view to_string(setting_error_kind value);

/// One fault of a settings file, a deployment file or a command line.
struct setting_error
{
    std::string m_file;     ///< path, or "command line"
    std::string m_key_path; ///< for example "groups[0].slots"
    setting_error_kind m_kind = setting_error_kind::wrong_type;
    std::string m_expected; ///< what would have been right
    std::string m_found;    ///< the value as written; may be empty

    friend auto operator<=>(setting_error const&,
                            setting_error const&) = default;
};

/// @return one line that names the file, the key, the fault and what was
///     expected
std::string to_string(setting_error const& error);

/// A value that was read, with every fault found on the way.
template <typename Value>
struct checked
{
    Value m_value;
    std::vector<setting_error> m_errors;

    /// @return true if the value may be used
    bool ok() const { return m_errors.empty(); }
};

} // namespace camphortide::transport
