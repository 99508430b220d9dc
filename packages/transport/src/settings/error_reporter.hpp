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

/// The source of a document and the errors found in it.
struct reading_context
{
    std::string m_file;
    std::set<std::string> m_overridden; ///< keys set on the command line
    std::vector<setting_error> m_errors;
};

/// File name in errors about values set on the command line.
inline constexpr std::string_view command_line_name = "command line";

/// A key path in a document. Reports errors at this path.
class error_reporter
{
public:
    /// @param context outlives the reader
    explicit error_reporter(reading_context& context);

    /// @return the reporter for a key of this object
    error_reporter at(std::string_view key) const;

    /// @return the reporter for an element of this list
    error_reporter at(std::size_t index) const;

    /// Reports an error.
    /// @param kind the kind of error
    /// @param expected the expected value or format
    /// @param found the value as written; empty to print none
    void report(setting_error_kind kind, std::string expected,
                std::string found = {}) const;

    /// Reports a value of the wrong JSON type.
    void report_type(std::string expected, json const& found) const;

    std::string const& path() const { return m_path; }

private:
    reading_context* m_context;
    std::string m_path;
};

/// @return the concatenation of the texts
std::string joined(std::initializer_list<std::string_view> texts);

/// @return the text in quotation marks
std::string in_quotes(std::string_view text);

/// @return a value as printed in messages, truncated to 60 characters and "..."
std::string display_text(json const& value);

} // namespace camphortide::transport
