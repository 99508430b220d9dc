#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <camphortide/platform/store_protocol.hpp>

namespace camphortide::proxy
{

/// Serves small HTTP/1.1 requests: readiness, metrics and the requests of other
/// instances.
class http_server
{
public:
    using responder = std::function<void(platform::http_response)>;
    /// Handles a request; has to respond once, immediately or later.
    using handler = std::function<void(platform::http_request const& request,
                                       responder respond)>;

    explicit http_server(boost::asio::io_context& context);
    ~http_server();

    /// Sets the handler of the requests for a path; the query part isn't
    /// compared.
    void set_handler(std::string path, handler handle);

    /// Listens at an address.
    /// @param address host:port
    /// @return false if the address can't be bound
    bool listen(std::string const& address);

    /// Stops accepting connections.
    void stop();

private:
    class connection;

    void accept(std::size_t index);

    boost::asio::io_context& m_context;
    std::map<std::string, handler, std::less<>> m_handlers;
    std::vector<std::unique_ptr<boost::asio::ip::tcp::acceptor>> m_acceptors;
};

} // namespace camphortide::proxy
