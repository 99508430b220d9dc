#pragma once

#include "error_reporter.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace camphortide::transport
{

/// Describes a type of setting value: how it is documented, parsed and
/// formatted.
template <typename Value>
struct value_kind
{
    /// Parses a value. If it is invalid, reports an error and returns nullopt.
    using read_function =
        std::function<std::optional<Value>(json const&, error_reporter const&)>;

    std::string m_description; ///< description of type, unit and range
    read_function m_read;
    std::function<std::string(Value const&)> m_format; ///< to JSON
    bool m_is_json_string = true; ///< whether the JSON type is a string
    bool m_secret = false;        ///< whether errors hide the value
};

/// Replaces the value of a secret setting in error messages.
inline constexpr std::string_view hidden_value = "a hidden value";

/// A closed range of values.
template <typename Value>
struct value_range
{
    Value m_low;
    Value m_high;
};

/// Any text.
value_kind<std::string> text_kind();

/// A name of letters, digits, '-', '_' and '.', of at most 63 characters.
value_kind<std::string> name_kind();

/// HOST:PORT, where HOST is an IP address. Port 0 selects any free port.
value_kind<std::string> address_kind();

/// A byte string of a fixed size in hexadecimal. Errors hide the value.
value_kind<std::string> hexadecimal_kind(std::size_t bytes);

/// A CURVE key: 40 characters of Z85. Errors hide the value.
value_kind<std::string> curve_key_kind();

/// The path of a file or a folder.
value_kind<std::string> path_kind();

value_kind<bool> boolean_kind();

/// An unsigned 32-bit integer.
value_kind<std::uint32_t> count_kind(value_range<std::uint32_t> range);

/// An unsigned 64-bit integer.
value_kind<std::uint64_t> large_count_kind(value_range<std::uint64_t> range);

/// A floating-point number.
value_kind<double> number_kind(value_range<double> range);

/// A size with its unit: B, KiB or MiB.
value_kind<std::uint64_t> size_kind(value_range<std::uint64_t> range);

/// A duration with its unit (us, ms, s, min or h), in whole milliseconds.
value_kind<std::chrono::duration<std::int64_t, std::milli>>
time_kind(value_range<std::chrono::duration<std::int64_t, std::milli>> range);

/// A duration in whole milliseconds, or "none", which parses as nullopt.
value_kind<std::optional<std::chrono::duration<std::int64_t, std::milli>>>
time_or_none_kind(
    value_range<std::chrono::duration<std::int64_t, std::milli>> range);

/// A duration with its unit, in whole microseconds.
value_kind<std::chrono::microseconds>
microseconds_kind(value_range<std::chrono::microseconds> range);

/// An unsigned 32-bit integer, or "all", which parses as nullopt.
value_kind<std::optional<std::uint32_t>>
count_or_all_kind(value_range<std::uint32_t> range);

/// An enumeration, given as one of several strings.
template <typename Value>
value_kind<Value>
choice_kind(std::vector<std::pair<std::string, Value>> choices)
{
    std::string description = "one of";
    for (auto const& [name, value] : choices)
    {
        description += joined({" ", in_quotes(name)});
    }
    auto const read =
        [choices,
         description](json const& found,
                      error_reporter const& reporter) -> std::optional<Value>
    {
        for (auto const& [name, value] : choices)
        {
            if (found == name)
            {
                return value;
            }
        }
        reporter.report(found.is_string() ? setting_error_kind::out_of_range
                                          : setting_error_kind::wrong_type,
                        description, display_text(found));
        return std::nullopt;
    };
    auto const format = [choices](Value const& selected)
    {
        for (auto const& [name, value] : choices)
        {
            if (value == selected)
            {
                return in_quotes(name);
            }
        }
        return std::string();
    };
    return {description, read, format};
}

/// A list whose elements are values of one kind.
template <typename Value>
value_kind<std::vector<Value>> list_kind(value_kind<Value> element,
                                         value_range<std::size_t> sizes)
{
    std::string const description =
        joined({"list of ", std::to_string(sizes.m_low), " to ",
                std::to_string(sizes.m_high), ": ", element.m_description});
    auto const read =
        [element, sizes, description](
            json const& found,
            error_reporter const& reporter) -> std::optional<std::vector<Value>>
    {
        if (!found.is_array())
        {
            reporter.report(setting_error_kind::wrong_type, description,
                            element.m_secret ? std::string(hidden_value)
                                             : display_text(found));
            return std::nullopt;
        }
        if (found.size() < sizes.m_low || found.size() > sizes.m_high)
        {
            reporter.report(setting_error_kind::out_of_range, description,
                            std::to_string(found.size()) + " elements");
        }
        std::vector<Value> values;
        values.reserve(found.size());
        std::size_t index = 0;
        for (auto const& each : found)
        {
            auto value = element.m_read(each, reporter.at(index++));
            if (value)
            {
                values.push_back(std::move(*value));
            }
        }
        return values;
    };
    auto const format = [element](std::vector<Value> const& values)
    {
        std::string text = "[";
        for (auto const& each : values)
        {
            text +=
                joined({text.size() > 1 ? ", " : "", element.m_format(each)});
        }
        return text + "]";
    };
    return {description, read, format, false, element.m_secret};
}

} // namespace camphortide::transport
