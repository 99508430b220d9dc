#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace camphortide::protocol
{

/// @param bytes any bytes
/// @return two lower-case digits for each byte
std::string to_hexadecimal(std::string_view bytes);

/// @param digits hexadecimal digits of either case
/// @return the bytes; none if their number is odd or a character is no digit
std::optional<std::string> from_hexadecimal(std::string_view digits);

} // namespace camphortide::protocol
