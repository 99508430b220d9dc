#include <algorithm>
#include <cstddef>

#include <camphortide/protocol/hexadecimal.hpp>

namespace camphortide::protocol
{

namespace
{

constexpr std::string_view lower_digits = "0123456789abcdef";
constexpr std::string_view upper_digits = "0123456789ABCDEF";
constexpr unsigned digit_bits = 4;
constexpr unsigned digit_mask = 15;

std::size_t value_of(char digit)
{
    return std::min(lower_digits.find(digit), upper_digits.find(digit));
}

} // namespace

std::string to_hexadecimal(std::string_view bytes)
{
    std::string result;
    result.reserve(2 * bytes.size());
    for (char const character : bytes)
    {
        auto const byte = static_cast<unsigned char>(character);
        result.push_back(lower_digits[byte >> digit_bits]);
        result.push_back(lower_digits[byte & digit_mask]);
    }
    return result;
}

std::optional<std::string> from_hexadecimal(std::string_view digits)
{
    if (digits.size() % 2 != 0)
    {
        return std::nullopt;
    }
    std::string result;
    result.reserve(digits.size() / 2);
    for (std::size_t index = 0; index < digits.size(); index += 2)
    {
        auto const high = value_of(digits[index]);
        auto const low = value_of(digits[index + 1]);
        if (high == std::string_view::npos || low == std::string_view::npos)
        {
            return std::nullopt;
        }
        result.push_back(static_cast<char>((high << digit_bits) | low));
    }
    return result;
}

} // namespace camphortide::protocol
