#pragma once

#include <chrono>
#include <string>
#include <string_view>
#include <type_traits>

#include <camphortide/state/clock.hpp>

namespace camphortide::transport
{

/// One key=value of a log line.
class log_field
{
public:
    /// @param key a word
    /// @param value quoted in the line if it is more than a word
    log_field(std::string_view key, std::string_view value);
    log_field(std::string_view key, char const* value);
    log_field(std::string_view key, std::string const& value);
    log_field(std::string_view key, bool value);
    log_field(std::string_view key, double value);

    /// @param value shown in milliseconds
    log_field(std::string_view key, state::duration value);

    template <typename Number>
    requires std::is_integral_v<Number> log_field(std::string_view key,
                                                  Number value)
        : m_text(std::string(key) + '=' + std::to_string(value))
    {
    }

    /// @return the fact as the line shows it
    std::string const& text() const { return m_text; }

private:
    std::string m_text;
};

} // namespace camphortide::transport
