#include "listener.hpp"
#include "socket_options.hpp"

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <camphortide/proxy/http_server.hpp>

namespace camphortide::proxy
{

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace
{

constexpr std::uint64_t max_body_bytes = std::uint64_t{1} << 20;
constexpr state::duration unacknowledged_timeout{10000};
constexpr unsigned status_not_found = 404;

} // namespace

/// One connection; handles its requests sequentially.
class http_server::connection
    : public std::enable_shared_from_this<http_server::connection>
{
public:
    connection(http_server& owner, asio::ip::tcp::socket socket)
        : m_owner(owner),
          m_socket(std::move(socket))
    {
        configure_socket(m_socket, unacknowledged_timeout);
    }

    void read()
    {
        m_parser.emplace();
        m_parser->body_limit(max_body_bytes);
        http::async_read(
            m_socket, m_buffer, *m_parser,
            [self = shared_from_this()](error_code error, std::size_t)
            {
                // An invalid request closes the connection.
                if (!error)
                {
                    self->handle();
                }
            });
    }

private:
    void handle()
    {
        auto message = m_parser->release();
        m_keep_alive = message.keep_alive();
        platform::http_request request;
        request.m_method = std::string(message.method_string());
        request.m_target = std::string(message.target());
        request.m_body = std::move(message.body());
        auto const path =
            request.m_target.substr(0, request.m_target.find('?'));
        auto const found = m_owner.m_handlers.find(path);
        if (found == m_owner.m_handlers.end())
        {
            write({status_not_found, {}});
            return;
        }
        found->second(request, [self = shared_from_this()](
                                   platform::http_response response)
                      { self->write(std::move(response)); });
    }

    void write(platform::http_response response)
    {
        m_response = {};
        m_response.version(11);
        m_response.result(response.m_status);
        m_response.keep_alive(m_keep_alive);
        m_response.body() = std::move(response.m_body);
        m_response.prepare_payload();
        http::async_write(
            m_socket, m_response,
            [self = shared_from_this()](error_code error, std::size_t)
            {
                if (!error && self->m_keep_alive)
                {
                    self->read();
                }
            });
    }

    http_server& m_owner;
    asio::ip::tcp::socket m_socket;
    boost::beast::flat_buffer m_buffer;
    std::optional<http::request_parser<http::string_body>> m_parser;
    http::response<http::string_body> m_response;
    bool m_keep_alive = false;
};

http_server::http_server(asio::io_context& context) : m_context(context) {}

http_server::~http_server() = default;

void http_server::set_handler(std::string path, handler handle)
{
    m_handlers.insert_or_assign(std::move(path), std::move(handle));
}

bool http_server::listen(std::string const& address)
{
    auto acceptor = open_listener(m_context, address);
    if (!acceptor)
    {
        return false;
    }
    m_acceptors.push_back(std::move(acceptor));
    accept(m_acceptors.size() - 1);
    return true;
}

void http_server::accept(std::size_t index)
{
    m_acceptors[index]->async_accept(
        [this, index](error_code error, asio::ip::tcp::socket socket)
        {
            if (error == asio::error::operation_aborted)
            {
                return;
            }
            if (!error)
            {
                std::make_shared<connection>(*this, std::move(socket))->read();
            }
            accept(index);
        });
}

void http_server::stop()
{
    for (auto& acceptor : m_acceptors)
    {
        error_code ignored; // the acceptor may be closed already
        acceptor->close(ignored);
    }
}

} // namespace camphortide::proxy
