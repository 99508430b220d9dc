#include "socket_options.hpp"

#include <algorithm>
#include <charconv>

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <camphortide/proxy/http_client.hpp>

namespace camphortide::proxy
{

namespace
{

constexpr int ms_per_second = 1000;
constexpr int max_keepalive_probes = 2;

void set_option(int socket, int level, int name, int value)
{
    // Errors are ignored: without an option the connection fails later, but the
    // timeouts of each exchange still apply.
    static_cast<void>(::setsockopt(socket, level, name, &value, sizeof(value)));
}

} // namespace

std::optional<boost::asio::ip::tcp::endpoint>
parse_endpoint(std::string const& address)
{
    auto const colon = address.rfind(':');
    if (colon == std::string::npos)
    {
        return std::nullopt;
    }
    boost::system::error_code error;
    auto const host =
        boost::asio::ip::make_address(address.substr(0, colon), error);
    unsigned short port = 0;
    auto const* const end = address.data() + address.size();
    auto const parsed = std::from_chars(address.data() + colon + 1, end, port);
    if (error || parsed.ec != std::errc() || parsed.ptr != end)
    {
        return std::nullopt;
    }
    return boost::asio::ip::tcp::endpoint(host, port);
}

void configure_socket(boost::asio::ip::tcp::socket& socket,
                      state::duration ack_timeout)
{
    int const handle = socket.native_handle();
    int const timeout_ms = static_cast<int>(ack_timeout.count());
    int const seconds =
        std::max(1, timeout_ms / ms_per_second / max_keepalive_probes);
    set_option(handle, IPPROTO_TCP, TCP_NODELAY, 1);
    set_option(handle, IPPROTO_TCP, TCP_USER_TIMEOUT, timeout_ms);
    set_option(handle, SOL_SOCKET, SO_KEEPALIVE, 1);
    set_option(handle, IPPROTO_TCP, TCP_KEEPIDLE, seconds);
    set_option(handle, IPPROTO_TCP, TCP_KEEPINTVL, seconds);
    set_option(handle, IPPROTO_TCP, TCP_KEEPCNT, max_keepalive_probes);
}

void limit_unsent(boost::asio::ip::tcp::socket& socket, std::size_t bytes)
{
    set_option(socket.native_handle(), IPPROTO_TCP, TCP_NOTSENT_LOWAT,
               static_cast<int>(bytes));
}

void reset_when_closed(boost::asio::ip::tcp::socket& socket)
{
    // Set directly: Asio's destructor undoes its own option.
    linger const discard{1, 0};
    // It fails only for a socket that is closed already.
    static_cast<void>(::setsockopt(socket.native_handle(), SOL_SOCKET,
                                   SO_LINGER, &discard, sizeof(discard)));
}

} // namespace camphortide::proxy
