#pragma once

#include "value_reader.hpp"

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

/// How values of one kind are described, read and shown.
template <typename Value>
struct value_kind
{
    /// Reads a value; records a fault and returns nothing if it is wrong.
    using read_function =
        std::function<std::optional<Value>(json const&, value_reader const&)>;

    std::string m_description; ///< type, unit and range
    read_function m_read;
    std::function<std::string(Value const&)> m_show; ///< as JSON
    bool m_written_as_text = true; ///< its JSON type is a string
    bool m_secret = false;         ///< errors hide the value
};

/// Stands for a secret in errors.
inline constexpr std::string_view hidden_value = "a hidden value";

/// The least and the greatest value, both allowed.
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

/// HOST:PORT, where HOST is an IP number; port 0 means any free one.
value_kind<std::string> address_kind();

/// Hexadecimal digits of a number of bytes. Errors hide the value.
value_kind<std::string> hexadecimal_kind(std::size_t bytes);

/// A CURVE key: 40 characters of Z85. Errors hide the value.
value_kind<std::string> curve_key_kind();

/// The path of a file or a folder.
value_kind<std::string> path_kind();

value_kind<bool> boolean_kind();

/// A whole number.
value_kind<std::uint32_t> count_kind(value_range<std::uint32_t> range);

/// A whole number that may be large.
value_kind<std::uint64_t> large_count_kind(value_range<std::uint64_t> range);

/// A number that may have a fraction.
value_kind<double> number_kind(value_range<double> range);

/// A size with its unit: B, KiB or MiB.
value_kind<std::uint64_t> size_kind(value_range<std::uint64_t> range);

/// A time with its unit (us, ms, s, min or h), in whole milliseconds.
value_kind<std::chrono::duration<std::int64_t, std::milli>>
time_kind(value_range<std::chrono::duration<std::int64_t, std::milli>> range);

/// A time in whole milliseconds, or "none", which reads as nothing.
value_kind<std::optional<std::chrono::duration<std::int64_t, std::milli>>>
time_or_none_kind(
    value_range<std::chrono::duration<std::int64_t, std::milli>> range);

/// A time with its unit, in whole microseconds.
value_kind<std::chrono::microseconds>
fine_time_kind(value_range<std::chrono::microseconds> range);

/// A count, or "all", which reads as nothing.
value_kind<std::optional<std::uint32_t>>
count_or_all_kind(value_range<std::uint32_t> range);

/// One of some words.
template <typename Value>
value_kind<Value> choice_kind(std::vector<std::pair<std::string, Value>> words)
{
    std::string description = "one of";
    for (auto const& [word, value] : words)
    {
        description += joined({" ", in_quotes(word)});
    }
    auto const read =
        [words, description](json const& found,
                             value_reader const& reader) -> std::optional<Value>
    {
        for (auto const& [word, value] : words)
        {
            if (found == word)
            {
                return value;
            }
        }
        reader.fail(found.is_string() ? setting_fault::out_of_range
                                      : setting_fault::wrong_type,
                    description, shown(found));
        return std::nullopt;
    };
    auto const show = [words](Value const& shown_value)
    {
        for (auto const& [word, value] : words)
        {
            if (value == shown_value)
            {
                return in_quotes(word);
            }
        }
        return std::string();
    };
    return {description, read, show};
}

/// A list of values of one kind.
template <typename Value>
value_kind<std::vector<Value>> list_kind(value_kind<Value> element,
                                         value_range<std::size_t> sizes)
{
    std::string const description =
        joined({"list of ", std::to_string(sizes.m_low), " to ",
                std::to_string(sizes.m_high), ": ", element.m_description});
    auto const read = [element, sizes, description](json const& found,
                                                    value_reader const& reader)
        -> std::optional<std::vector<Value>>
    {
        if (!found.is_array())
        {
            reader.fail(setting_fault::wrong_type, description,
                        element.m_secret ? std::string(hidden_value)
                                         : shown(found));
            return std::nullopt;
        }
        if (found.size() < sizes.m_low || found.size() > sizes.m_high)
        {
            reader.fail(setting_fault::out_of_range, description,
                        std::to_string(found.size()) + " elements");
        }
        std::vector<Value> values;
        values.reserve(found.size());
        std::size_t index = 0;
        for (auto const& each : found)
        {
            auto value = element.m_read(each, reader.at(index++));
            if (value)
            {
                values.push_back(std::move(*value));
            }
        }
        return values;
    };
    auto const show = [element](std::vector<Value> const& values)
    {
        std::string text = "[";
        for (auto const& each : values)
        {
            text += joined({text.size() > 1 ? ", " : "", element.m_show(each)});
        }
        return text + "]";
    };
    return {description, read, show, false, element.m_secret};
}

} // namespace camphortide::transport
