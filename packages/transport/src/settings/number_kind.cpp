#include "value_kind.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <string_view>
#include <system_error>

namespace camphortide::transport
{

namespace
{

using milliseconds = std::chrono::duration<std::int64_t, std::milli>;

struct unit
{
    std::string_view m_name;
    double m_factor;
};

constexpr std::array<unit, 5> time_units{
    {{"us", 1.0}, {"ms", 1e3}, {"s", 1e6}, {"min", 6e7}, {"h", 3.6e9}}};
constexpr std::array<unit, 3> size_units{
    {{"B", 1.0}, {"KiB", 1024.0}, {"MiB", 1048576.0}}};

std::string number_text(double value)
{
    std::array<char, 32> buffer{};
    auto const end =
        std::to_chars(buffer.data(), buffer.data() + buffer.size(), value);
    return {buffer.data(), end.ptr};
}

/// Formats a number of base units in the largest unit that gives an integer.
template <std::size_t Size>
std::string format_with_unit(double value, std::array<unit, Size> const& units)
{
    unit best = units.front();
    for (auto const& each : units)
    {
        double const scaled = value / each.m_factor;
        if (scaled >= 1.0 && scaled == std::floor(scaled))
        {
            best = each;
        }
    }
    return number_text(value / best.m_factor) + " " + std::string(best.m_name);
}

/// Parses "NUMBER UNIT" and converts it to base units.
template <std::size_t Size>
std::optional<double> parse_quantity(std::string_view text,
                                     std::array<unit, Size> const& units)
{
    double number = 0;
    char const* const end = text.data() + text.size();
    auto const [rest, error] = std::from_chars(text.data(), end, number);
    if (error != std::errc() || !std::isfinite(number))
    {
        return std::nullopt;
    }
    std::string_view name(rest, static_cast<std::size_t>(end - rest));
    name.remove_prefix(std::min(name.find_first_not_of(' '), name.size()));
    auto const it =
        std::find_if(units.begin(), units.end(),
                     [name](unit const& each) { return each.m_name == name; });
    if (it == units.end())
    {
        return std::nullopt;
    }
    return number * it->m_factor;
}

/// A number with a unit. It must be a multiple of `step` base units.
template <typename Value, std::size_t Size>
value_kind<Value> quantity_kind(std::string const& type,
                                std::array<unit, Size> const& units,
                                value_range<double> range, double step,
                                Value (*make)(double), double (*count)(Value))
{
    std::string const description =
        type + ", " + format_with_unit(range.m_low, units) + " to " +
        format_with_unit(range.m_high, units);
    auto const read =
        [=](json const& found,
            error_reporter const& reporter) -> std::optional<Value>
    {
        if (!found.is_string())
        {
            reporter.report(found.is_number() ? setting_error_kind::wrong_unit
                                              : setting_error_kind::wrong_type,
                            description, display_text(found));
            return std::nullopt;
        }
        auto const value = parse_quantity(found.get<std::string>(), units);
        if (!value)
        {
            reporter.report(setting_error_kind::wrong_unit, description,
                            display_text(found));
            return std::nullopt;
        }
        double const steps = *value / step;
        if (*value < range.m_low || *value > range.m_high ||
            std::abs(steps - std::round(steps)) > 1e-6)
        {
            reporter.report(setting_error_kind::out_of_range, description,
                            display_text(found));
            return std::nullopt;
        }
        return make(std::round(steps));
    };
    return {description, read,
            [units, count, step](Value const& value)
            {
                return in_quotes(format_with_unit(count(value) * step, units));
            }};
}

template <typename Duration>
value_kind<Duration> duration_kind(value_range<Duration> range, double step)
{
    using rep = typename Duration::rep;
    return quantity_kind<Duration>(
        "text of a number and us, ms, s, min or h", time_units,
        {static_cast<double>(range.m_low.count()) * step,
         static_cast<double>(range.m_high.count()) * step},
        step, [](double steps) { return Duration(static_cast<rep>(steps)); },
        [](Duration value) { return static_cast<double>(value.count()); });
}

template <typename Value>
std::optional<Value> read_integer(json const& found, value_range<Value> range)
{
    if (!found.is_number_unsigned())
    {
        return std::nullopt;
    }
    auto const value = found.get<std::uint64_t>();
    if (value < range.m_low || value > range.m_high)
    {
        return std::nullopt;
    }
    return static_cast<Value>(value);
}

/// An unsigned integer within a range.
template <typename Value>
value_kind<Value> integer_kind(value_range<Value> range)
{
    std::string const description =
        joined({"whole number, ", std::to_string(range.m_low), " to ",
                std::to_string(range.m_high)});
    auto const read =
        [range,
         description](json const& found,
                      error_reporter const& reporter) -> std::optional<Value>
    {
        auto const value = read_integer(found, range);
        if (!value)
        {
            reporter.report(found.is_number_integer()
                                ? setting_error_kind::out_of_range
                                : setting_error_kind::wrong_type,
                            description, display_text(found));
        }
        return value;
    };
    return {description, read,
            [](Value value) { return std::to_string(value); }, false};
}

} // namespace

value_kind<std::uint32_t> count_kind(value_range<std::uint32_t> range)
{
    return integer_kind(range);
}

value_kind<std::uint64_t> large_count_kind(value_range<std::uint64_t> range)
{
    return integer_kind(range);
}

value_kind<double> number_kind(value_range<double> range)
{
    std::string const description = "number, " + number_text(range.m_low) +
                                    " to " + number_text(range.m_high);
    auto const read =
        [range,
         description](json const& found,
                      error_reporter const& reporter) -> std::optional<double>
    {
        if (!found.is_number())
        {
            reporter.report_type(description, found);
            return std::nullopt;
        }
        auto const value = found.get<double>();
        if (!(value >= range.m_low && value <= range.m_high))
        {
            reporter.report(setting_error_kind::out_of_range, description,
                            display_text(found));
            return std::nullopt;
        }
        return value;
    };
    return {description, read, number_text, false};
}

value_kind<std::uint64_t> size_kind(value_range<std::uint64_t> range)
{
    return quantity_kind<std::uint64_t>(
        "text of a number and B, KiB or MiB", size_units,
        {static_cast<double>(range.m_low), static_cast<double>(range.m_high)},
        1.0, [](double value) { return static_cast<std::uint64_t>(value); },
        [](std::uint64_t value) { return static_cast<double>(value); });
}

value_kind<milliseconds> time_kind(value_range<milliseconds> range)
{
    return duration_kind(range, 1e3);
}

value_kind<std::optional<milliseconds>>
time_or_none_kind(value_range<milliseconds> range)
{
    using value_type = std::optional<milliseconds>;
    auto const time = time_kind(range);
    auto const read =
        [time](json const& found,
               error_reporter const& reporter) -> std::optional<value_type>
    {
        if (found == "none")
        {
            return std::make_optional<value_type>(std::nullopt);
        }
        auto const value = time.m_read(found, reporter);
        return value ? std::make_optional<value_type>(value) : std::nullopt;
    };
    auto const format = [time](value_type const& value)
    {
        return value ? time.m_format(*value) : std::string("\"none\"");
    };
    return {time.m_description + ", or \"none\"", read, format};
}

value_kind<std::chrono::microseconds>
microseconds_kind(value_range<std::chrono::microseconds> range)
{
    return duration_kind(range, 1.0);
}

value_kind<std::optional<std::uint32_t>>
count_or_all_kind(value_range<std::uint32_t> range)
{
    using value_type = std::optional<std::uint32_t>;
    auto const count = count_kind(range);
    std::string const description = count.m_description + ", or \"all\"";
    auto const read = [range, description](json const& found,
                                           error_reporter const& reporter)
        -> std::optional<value_type>
    {
        if (found == "all")
        {
            return std::make_optional<value_type>(std::nullopt);
        }
        auto const value = read_integer(found, range);
        if (!value)
        {
            reporter.report(found.is_number_integer()
                                ? setting_error_kind::out_of_range
                                : setting_error_kind::wrong_type,
                            description, display_text(found));
            return std::nullopt;
        }
        return std::make_optional<value_type>(value);
    };
    auto const format = [](value_type const& value)
    {
        return value ? std::to_string(*value) : std::string("\"all\"");
    };
    return {description, read, format, false};
}

} // namespace camphortide::transport
