#include "value_kind.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdint>
#include <string_view>
#include <system_error>

#include <camphortide/state/endpoint.hpp>

namespace camphortide::transport
{

namespace
{

constexpr std::size_t max_name_characters = 63;
constexpr std::size_t curve_key_characters = 40;
constexpr std::string_view z85_symbols = ".-:+=^!/*?&<>()[]{}@%$#";

bool is_alphanumeric(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
           (c >= '0' && c <= '9');
}

bool is_name(std::string_view text)
{
    return !text.empty() && text.size() <= max_name_characters &&
           is_alphanumeric(text.front()) &&
           std::all_of(text.begin(), text.end(),
                       [](char c) {
                           return is_alphanumeric(c) || c == '-' || c == '_' ||
                                  c == '.';
                       });
}

bool is_address(std::string const& text)
{
    return state::port_of(text).has_value();
}

bool is_hexadecimal(std::string_view text, std::size_t bytes)
{
    return text.size() == 2 * bytes &&
           std::all_of(text.begin(), text.end(),
                       [](char c)
                       {
                           return (c >= '0' && c <= '9') ||
                                  (c >= 'a' && c <= 'f') ||
                                  (c >= 'A' && c <= 'F');
                       });
}

bool is_curve_key(std::string_view text)
{
    return text.size() == curve_key_characters &&
           std::all_of(text.begin(), text.end(),
                       [](char c)
                       {
                           return is_alphanumeric(c) ||
                                  z85_symbols.find(c) != std::string_view::npos;
                       });
}

/// A string that satisfies a predicate.
template <typename Accepts>
value_kind<std::string> validated_text_kind(std::string const& description,
                                            bool secret, Accepts accepts)
{
    auto const read =
        [description, secret,
         accepts](json const& found,
                  error_reporter const& reporter) -> std::optional<std::string>
    {
        if (!found.is_string())
        {
            reporter.report(setting_error_kind::wrong_type, description,
                            secret ? std::string(hidden_value)
                                   : display_text(found));
            return std::nullopt;
        }
        auto text = found.get<std::string>();
        if (!accepts(text))
        {
            reporter.report(setting_error_kind::bad_format, description,
                            secret ? std::string(hidden_value)
                                   : display_text(found));
            return std::nullopt;
        }
        return text;
    };
    return {description, read,
            [](std::string const& value) { return json(value).dump(); }, true,
            secret};
}

} // namespace

value_kind<std::string> text_kind()
{
    return validated_text_kind("text", false,
                               [](std::string const&) { return true; });
}

value_kind<std::string> name_kind()
{
    return validated_text_kind(
        "name of 1 to 63 letters, digits, '-', '_' or '.'", false, is_name);
}

value_kind<std::string> address_kind()
{
    return validated_text_kind("address, as IP:PORT", false, is_address);
}

value_kind<std::string> hexadecimal_kind(std::size_t bytes)
{
    return validated_text_kind(
        std::to_string(2 * bytes) + " hexadecimal digits", true,
        [bytes](std::string const& text)
        { return is_hexadecimal(text, bytes); });
}

value_kind<std::string> curve_key_kind()
{
    return validated_text_kind("CURVE key, 40 characters of Z85", true,
                               is_curve_key);
}

value_kind<std::string> path_kind()
{
    return validated_text_kind(
        "path", false, [](std::string const& text) { return !text.empty(); });
}

value_kind<bool> boolean_kind()
{
    auto const read = [](json const& found,
                         error_reporter const& reporter) -> std::optional<bool>
    {
        if (!found.is_boolean())
        {
            reporter.report_type("true or false", found);
            return std::nullopt;
        }
        return found.get<bool>();
    };
    return {"true or false", read,
            [](bool value) { return std::string(value ? "true" : "false"); },
            false};
}

} // namespace camphortide::transport
