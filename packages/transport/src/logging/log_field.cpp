#include <algorithm>
#include <array>
#include <charconv>

#include <camphortide/transport/logging/log_field.hpp>

namespace camphortide::transport
{

namespace
{

bool is_plain(char c)
{
    return c > ' ' && c < 127 && c != '"' && c != '=';
}

/// Quotes a value and escapes characters that would end the quotation or the
/// line.
std::string escaped(std::string_view value)
{
    static constexpr std::string_view digits = "0123456789abcdef";
    std::string text = "\"";
    for (char const c : value)
    {
        auto const byte = static_cast<unsigned char>(c);
        if (c == '"' || c == '\\')
        {
            text += '\\';
            text += c;
        }
        else if (byte < ' ' || byte == 127)
        {
            text += "\\x";
            text += digits[byte >> 4];
            text += digits[byte & 15];
        }
        else
        {
            text += c;
        }
    }
    text += '"';
    return text;
}

std::string value_text(std::string_view value)
{
    bool const plain =
        !value.empty() && std::all_of(value.begin(), value.end(), is_plain);
    return plain ? std::string(value) : escaped(value);
}

std::string number_text(double value)
{
    std::array<char, 32> buffer{};
    auto const end =
        std::to_chars(buffer.data(), buffer.data() + buffer.size(), value);
    return {buffer.data(), end.ptr};
}

std::string joined(std::string_view key, std::string_view value)
{
    std::string text(key);
    text += '=';
    text += value;
    return text;
}

} // namespace

log_field::log_field(std::string_view key, std::string_view value)
    : m_text(joined(key, value_text(value)))
{
}

log_field::log_field(std::string_view key, char const* value)
    : log_field(key, std::string_view(value))
{
}

log_field::log_field(std::string_view key, std::string const& value)
    : log_field(key, std::string_view(value))
{
}

log_field::log_field(std::string_view key, bool value)
    : m_text(joined(key, value ? "true" : "false"))
{
}

log_field::log_field(std::string_view key, double value)
    : m_text(joined(key, number_text(value)))
{
}

log_field::log_field(std::string_view key, state::duration value)
    : m_text(joined(key, std::to_string(value.count()) + "ms"))
{
}

} // namespace camphortide::transport
