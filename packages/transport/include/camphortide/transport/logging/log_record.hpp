#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <camphortide/state/clock.hpp>

namespace camphortide::transport
{

/// A line that an instance logged, taken apart.
struct log_record
{
    /// Time of day of the line, in ms since the start of 1970, UTC.
    std::int64_t m_time_ms = 0;
    /// What stands before the line where logs of several instances are
    /// collected: the last word is the instance's name. Empty: nothing does.
    std::string m_instance;
    std::string m_part;    ///< the component, see `log_part`
    std::string m_message; ///< the fixed text
    /// The fields in their order, without quotation marks.
    std::vector<std::pair<std::string, std::string>> m_fields;

    /// @param key of a field
    /// @return its value; empty if the line has no such field
    std::string_view field(std::string_view key) const;

    /// @param key of a field with a whole number, with or without "ms"
    /// @return its value; 0 if the line has no such field
    std::int64_t number(std::string_view key) const;

    friend bool operator==(log_record const&, log_record const&) = default;
};

/// Takes a line apart that was written by `log_line`, with glog's prefix and
/// possibly with the name of the instance before it.
/// @param line without its end
/// @return nothing if it isn't such a line
std::optional<log_record> parse_log_line(std::string_view line);

} // namespace camphortide::transport
