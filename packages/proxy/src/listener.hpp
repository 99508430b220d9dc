#pragma once

#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace camphortide::proxy
{

/// Opens a listening socket.
/// @param context that runs the acceptor
/// @param address host:port
/// @return null if the address can't be used
std::unique_ptr<boost::asio::ip::tcp::acceptor>
open_listener(boost::asio::io_context& context, std::string const& address);

} // namespace camphortide::proxy
