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

/// Serves small HTTP/1.1 requests: readiness, metrics, and what other
/// instances ask.
class http_server
{
public:
    using respond = std::function<void(platform::http_response)>;
    /// Handles a request; may respond later, once.
    using handler = std::function<void(platform::http_request const& request,
                                       respond done)>;

    explicit http_server(boost::asio::io_context& context);
    ~http_server();

    /// Sets what handles a path, without its query.
    void on(std::string path, handler handle);

    /// Listens at an address.
    /// @param address host:port
    /// @return false if it can't be had
    bool listen(std::string const& address);

    /// Takes no new connections any more.
    void stop();

private:
    class connection;

    void accept(std::size_t index);

    boost::asio::io_context& m_context;
    std::map<std::string, handler, std::less<>> m_handlers;
    std::vector<std::unique_ptr<boost::asio::ip::tcp::acceptor>> m_acceptors;
};

} // namespace camphortide::proxy
