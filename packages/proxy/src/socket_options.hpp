#pragma once

#include <optional>
#include <string>

#include <boost/asio/ip/tcp.hpp>

#include <camphortide/state/clock.hpp>

namespace camphortide::proxy
{

/// Turns host:port into an endpoint; nothing for any other text. Names are
/// not looked up.
std::optional<boost::asio::ip::tcp::endpoint>
parse_endpoint(std::string const& address);

/// Makes a connected socket send at once, and fail when the other side has
/// acknowledged nothing for so long, also while it is idle.
void configure_socket(boost::asio::ip::tcp::socket& socket,
                      state::duration ack_timeout);

} // namespace camphortide::proxy
