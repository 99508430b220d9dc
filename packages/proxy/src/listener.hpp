#pragma once

#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace camphortide::proxy
{

/// Listens at host:port.
/// @return nothing if the address can't be had
std::unique_ptr<boost::asio::ip::tcp::acceptor>
open_listener(boost::asio::io_context& context, std::string const& address);

} // namespace camphortide::proxy
