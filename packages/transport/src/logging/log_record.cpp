#include <algorithm>
#include <charconv>
#include <chrono>

#include <camphortide/transport/logging/log_record.hpp>

namespace camphortide::transport
{

namespace
{

/// Length of "I 2026-05-14 01:12:44.000454 ", the prefix of each line.
constexpr std::size_t prefix_length = 29;
constexpr std::string_view prefix_shape = "? ####-##-## ##:##:##.###### ";
constexpr std::string_view severities = "IWEF";

bool has_prefix(std::string_view text)
{
    if (text.size() < prefix_length ||
        severities.find(text[0]) == std::string_view::npos)
    {
        return false;
    }
    for (std::size_t i = 1; i < prefix_length; ++i)
    {
        bool const digit = text[i] >= '0' && text[i] <= '9';
        bool const fits =
            prefix_shape[i] == '#' ? digit : text[i] == prefix_shape[i];
        if (!fits)
        {
            return false;
        }
    }
    return true;
}

int digits(std::string_view text, std::size_t at, std::size_t count)
{
    int value = 0;
    std::from_chars(text.data() + at, text.data() + at + count, value);
    return value;
}

std::int64_t time_of(std::string_view prefix)
{
    using namespace std::chrono;
    sys_days const day = year(digits(prefix, 2, 4)) /
                         month(unsigned(digits(prefix, 7, 2))) /
                         std::chrono::day(unsigned(digits(prefix, 10, 2)));
    auto const time =
        hours(digits(prefix, 13, 2)) + minutes(digits(prefix, 16, 2)) +
        seconds(digits(prefix, 19, 2)) + milliseconds(digits(prefix, 22, 3));
    return duration_cast<milliseconds>(day.time_since_epoch() + time).count();
}

std::string last_word(std::string_view text)
{
    auto const end = text.find_last_not_of(" \t");
    if (end == std::string_view::npos)
    {
        return {};
    }
    text = text.substr(0, end + 1);
    auto const start = text.find_last_of(" \t");
    return std::string(
        start == std::string_view::npos ? text : text.substr(start + 1));
}

/// Reads a value, and removes it from the text.
/// @return nothing if a quotation doesn't end
std::optional<std::string> take_value(std::string_view& text)
{
    if (!text.starts_with('"'))
    {
        auto const end = std::min(text.find(' '), text.size());
        std::string value(text.substr(0, end));
        text.remove_prefix(end);
        return value;
    }
    std::string value;
    for (std::size_t i = 1; i < text.size(); ++i)
    {
        if (text[i] == '"')
        {
            text.remove_prefix(i + 1);
            return value;
        }
        i += text[i] == '\\' && i + 1 < text.size() ? 1U : 0U;
        value += text[i];
    }
    return std::nullopt;
}

/// @return the position of the first field: of a word with '='
std::size_t find_fields(std::string_view text)
{
    auto const equals = text.find('=');
    if (equals == std::string_view::npos)
    {
        return text.size();
    }
    auto const space = text.rfind(' ', equals);
    return space == std::string_view::npos ? 0 : space + 1;
}

bool read_fields(std::string_view text, log_record& record)
{
    while (!text.empty())
    {
        auto const equals = text.find('=');
        if (equals == std::string_view::npos)
        {
            return false;
        }
        std::string key(text.substr(0, equals));
        text.remove_prefix(equals + 1);
        auto value = take_value(text);
        if (!value)
        {
            return false;
        }
        record.m_fields.emplace_back(std::move(key), std::move(*value));
        text.remove_prefix(std::min(text.find_first_not_of(' '), text.size()));
    }
    return true;
}

/// @return where glog's prefix starts; npos if there is none
std::size_t find_prefix(std::string_view line)
{
    // What a collector adds before a line is short.
    constexpr std::size_t max_start = 200;
    for (std::size_t start = 0;
         start < max_start && start + prefix_length <= line.size(); ++start)
    {
        bool const word = start == 0 || line[start - 1] == ' ';
        if (word && has_prefix(line.substr(start)))
        {
            return start;
        }
    }
    return std::string_view::npos;
}

} // namespace

std::string_view log_record::field(std::string_view key) const
{
    auto const found = std::ranges::find(
        m_fields, key, &std::pair<std::string, std::string>::first);
    return found == m_fields.end() ? std::string_view()
                                   : std::string_view(found->second);
}

std::int64_t log_record::number(std::string_view key) const
{
    auto const text = field(key);
    std::int64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

std::optional<log_record> parse_log_line(std::string_view line)
{
    auto const start = find_prefix(line);
    if (start == std::string_view::npos)
    {
        return std::nullopt;
    }
    auto text = line.substr(start + prefix_length);
    auto const colon = text.find(": ");
    if (colon == std::string_view::npos)
    {
        return std::nullopt;
    }
    log_record record;
    record.m_time_ms = time_of(line.substr(start));
    record.m_instance = last_word(line.substr(0, start));
    record.m_part = text.substr(0, colon);
    text.remove_prefix(colon + 2);
    auto const fields = find_fields(text);
    record.m_message = text.substr(0, fields);
    record.m_message.erase(record.m_message.find_last_not_of(' ') + 1);
    if (!read_fields(text.substr(fields), record))
    {
        return std::nullopt;
    }
    return record;
}

} // namespace camphortide::transport
