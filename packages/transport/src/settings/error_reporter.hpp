#pragma once

#include "json_document.hpp"

#include <cstddef>
#include <initializer_list>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace camphortide::transport
{

/// Where the values of one document come from and where its faults go.
struct reading_context
{
    std::string m_file;
    std::set<std::string> m_overridden; ///< keys that the command line gave
    std::vector<setting_error> m_errors;
};

/// The name in errors of values that the command line gave.
inline constexpr std::string_view command_line_name = "command line";

/// A place in a document; records faults with its path.
class error_reporter
{
public:
    /// @param context outlives the reader
    explicit error_reporter(reading_context& context);

    /// @return the place of a key below this one
    error_reporter at(std::string_view key) const;

    /// @return the place of an element of this list
    error_reporter at(std::size_t index) const;

    /// Records a fault.
    /// @param fault what is wrong
    /// @param expected what would have been right
    /// @param found the value as written; empty to show none
    void report(setting_error_kind kind, std::string expected,
                std::string found = {}) const;

    /// Records a value of the wrong JSON type.
    void report_type(std::string expected, json const& found) const;

    std::string const& path() const { return m_path; }

private:
    reading_context* m_context;
    std::string m_path;
};

/// @return the texts as one
std::string joined(std::initializer_list<std::string_view> texts);

/// @return a text between quotation marks
std::string in_quotes(std::string_view text);

/// @return a value as messages show it, cut to a line
std::string display_text(json const& value);

} // namespace camphortide::transport
