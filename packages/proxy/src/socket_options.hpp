#pragma once

#include <cstddef>
#include <optional>
#include <string>

#include <boost/asio/ip/tcp.hpp>

#include <camphortide/state/clock.hpp>

namespace camphortide::proxy
{

/// Parses host:port. Host names are not resolved.
/// @return nothing if the text isn't an IP address with a port
std::optional<boost::asio::ip::tcp::endpoint>
parse_endpoint(std::string const& address);

/// Disables Nagle's algorithm on a connected socket, and makes the connection
/// fail if the peer acknowledges nothing for a time, also while it is idle.
/// @param socket the connected socket
/// @param ack_timeout that time; keep-alive probes use whole seconds
void configure_socket(boost::asio::ip::tcp::socket& socket,
                      state::duration ack_timeout);

/// Limits the bytes that the system takes before it sends them.
/// @param bytes above which the socket isn't writable
void limit_unsent(boost::asio::ip::tcp::socket& socket, std::size_t bytes);

/// Makes a connection be reset when it is closed, also by the end of the
/// process: what it has sent and the peer hasn't acknowledged is discarded
/// instead of being delivered later. The destructor of the socket keeps to it.
void reset_when_closed(boost::asio::ip::tcp::socket& socket);

} // namespace camphortide::proxy
