#include <array>
#include <cstddef>

#include <camphortide/transport/settings/setting_error.hpp>

namespace camphortide::transport
{

std::string_view to_string(setting_error_kind value)
{
    static constexpr std::array<std::string_view, 10> names{
        "unreadable file", "malformed JSON", "unknown key", "repeated key",
        "missing key",     "wrong type",     "wrong unit",  "bad format",
        "out of range",    "conflict"};
    return names.at(static_cast<std::size_t>(value));
}

std::string to_string(setting_error const& error)
{
    std::string line = error.m_file + ": ";
    if (!error.m_key_path.empty())
    {
        line += error.m_key_path + ": ";
    }
    line +=
        std::string(to_string(error.m_kind)) + ": expected " + error.m_expected;
    if (!error.m_found.empty())
    {
        line += ", found " + error.m_found;
    }
    return line;
}

} // namespace camphortide::transport
