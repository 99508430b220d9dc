#include "change_identifier.hpp"

#include <random>
#include <string_view>

#include <pwd.h>
#include <unistd.h>

namespace camphortide::command_line
{

std::string make_identifier()
{
    constexpr std::string_view digits = "0123456789abcdef";
    constexpr int bytes = 16;
    std::random_device random;
    std::string text;
    for (int i = 0; i < bytes; ++i)
    {
        auto const byte = random() & 0xffU;
        text += digits[byte >> 4];
        text += digits[byte & 0xfU];
    }
    return text;
}

std::string operator_name()
{
    auto const* const user = getpwuid(getuid());
    return user == nullptr ? std::string("operator") : user->pw_name;
}

} // namespace camphortide::command_line
