#include "listener.hpp"

#include "socket_options.hpp"

namespace camphortide::proxy
{

namespace asio = boost::asio;

namespace
{

constexpr int backlog = 1024; ///< pending connections

} // namespace

std::unique_ptr<asio::ip::tcp::acceptor>
open_listener(asio::io_context& context, std::string const& address)
{
    auto const endpoint = parse_endpoint(address);
    if (!endpoint)
    {
        return nullptr;
    }
    auto acceptor = std::make_unique<asio::ip::tcp::acceptor>(context);
    boost::system::error_code error;
    acceptor->open(endpoint->protocol(), error);
    if (!error)
    {
        acceptor->set_option(asio::socket_base::reuse_address(true), error);
        acceptor->bind(*endpoint, error);
    }
    if (!error)
    {
        acceptor->listen(backlog, error);
    }
    return error ? nullptr : std::move(acceptor);
}

} // namespace camphortide::proxy
