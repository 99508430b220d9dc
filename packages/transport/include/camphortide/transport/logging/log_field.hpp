#pragma once

#include <chrono>
#include <string>
#include <string_view>
#include <type_traits>

#include <camphortide/state/clock.hpp>

namespace camphortide::transport
{

/// A key=value field of a log line.
class log_field
{
public:
    /// @param key a single word
    /// @param value quoted unless it is a single word
    log_field(std::string_view key, std::string_view value);
    log_field(std::string_view key, char const* value);
    log_field(std::string_view key, std::string const& value);
    log_field(std::string_view key, bool value);
    log_field(std::string_view key, double value);

    /// @param value printed in milliseconds
    log_field(std::string_view key, state::duration value);

    template <typename Number>
    requires std::is_integral_v<Number> log_field(std::string_view key,
                                                  Number value)
        : m_text(std::string(key).append("=").append(std::to_string(value)))
    {
    }

    /// @return the field as printed in the line
    std::string const& text() const { return m_text; }

private:
    std::string m_text;
};

} // namespace camphortide::transport
