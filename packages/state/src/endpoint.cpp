#include <array>
#include <charconv>

#include <arpa/inet.h>

#include <camphortide/state/endpoint.hpp>

namespace camphortide::state
{

namespace
{

bool is_ip_number(std::string const& host)
{
    std::array<unsigned char, sizeof(in6_addr)> buffer{};
    if (host.size() > 2 && host.front() == '[' && host.back() == ']')
    {
        return inet_pton(AF_INET6, host.substr(1, host.size() - 2).c_str(),
                         buffer.data()) == 1;
    }
    return inet_pton(AF_INET, host.c_str(), buffer.data()) == 1;
}

} // namespace

std::optional<std::uint16_t> port_of(std::string const& endpoint)
{
    auto const colon = endpoint.rfind(':');
    if (colon == std::string::npos || !is_ip_number(endpoint.substr(0, colon)))
    {
        return std::nullopt;
    }
    std::uint16_t port = 0;
    char const* const end = endpoint.data() + endpoint.size();
    auto const [rest, error] =
        std::from_chars(endpoint.data() + colon + 1, end, port);
    return error == std::errc() && rest == end ? std::optional(port)
                                               : std::nullopt;
}

} // namespace camphortide::state
