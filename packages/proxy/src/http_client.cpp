#include "socket_options.hpp"

#include <algorithm>

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <camphortide/proxy/http_client.hpp>

namespace camphortide::proxy
{

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace
{

constexpr std::size_t max_idle_connections = 4;
/// A connection that was idle for longer isn't reused, as it may have broken
/// without notice.
constexpr state::duration max_idle_time{4000};
constexpr std::uint64_t max_body_bytes = std::uint64_t{16} << 20;
/// Once a response has begun: timeout for its next part, and for all of it. A
/// large response takes seconds on a slow link.
constexpr state::duration max_silence{800};
constexpr state::duration max_transfer_time{10000};

} // namespace

/// One request and its response.
class http_client::exchange
    : public std::enable_shared_from_this<http_client::exchange>
{
public:
    exchange(std::shared_ptr<http_client> owner, handler done, guard may_send)
        : m_owner(std::move(owner)),
          m_timer(m_owner->m_context),
          m_done(std::move(done)),
          m_may_send(std::move(may_send))
    {
        m_parser.body_limit(max_body_bytes);
    }

    void start(platform::http_request const& request, state::duration timeout)
    {
        build_request(request);
        m_deadline = state::clock::now() + timeout;
        wait_for_deadline();
        m_socket = m_owner->take_idle();
        if (m_socket)
        {
            m_reused = true;
            write();
            return;
        }
        connect();
    }

private:
    void wait_for_deadline()
    {
        m_timer.expires_after(m_deadline - state::clock::now());
        m_timer.async_wait(
            [self = shared_from_this()](error_code error)
            {
                if (error || self->m_finished)
                {
                    return;
                }
                if (state::clock::now() < self->m_deadline)
                {
                    self->wait_for_deadline(); // extended meanwhile
                    return;
                }
                self->m_owner->m_idle.clear();
                self->finish({std::nullopt, self->failure()});
            });
    }

    void build_request(platform::http_request const& request)
    {
        m_request.method_string(request.m_method);
        m_request.target(request.m_target);
        m_request.version(11);
        m_request.set(http::field::host, m_owner->m_address);
        for (auto const& [name, value] : request.m_headers)
        {
            m_request.set(name, value);
        }
        if (!request.m_body.empty())
        {
            m_request.set(http::field::content_type, "application/json");
            m_request.body() = request.m_body;
        }
        m_request.prepare_payload();
    }

    void connect()
    {
        auto const endpoint = parse_endpoint(m_owner->m_address);
        if (!endpoint)
        {
            asio::post(m_owner->m_context,
                       [self = shared_from_this()] {
                           self->finish(
                               {std::nullopt, request_failure::not_connected});
                       });
            return;
        }
        m_socket = std::make_unique<asio::ip::tcp::socket>(m_owner->m_context);
        m_socket->async_connect(
            *endpoint,
            [self = shared_from_this()](error_code error)
            {
                if (self->m_finished)
                {
                    return;
                }
                if (error)
                {
                    self->finish(
                        {std::nullopt, request_failure::not_connected});
                    return;
                }
                auto const& settings = self->m_owner->m_settings;
                configure_socket(*self->m_socket,
                                 settings.m_unacknowledged_timeout);
                if (settings.m_always_reset)
                {
                    reset_when_closed(*self->m_socket);
                }
                self->write();
            });
    }

    void write()
    {
        if (m_may_send && !m_may_send())
        {
            finish({std::nullopt, request_failure::cancelled});
            return;
        }
        m_sent = true;
        http::async_write(
            *m_socket, m_request,
            [self = shared_from_this()](error_code error, std::size_t)
            {
                if (self->m_finished)
                {
                    return;
                }
                if (error)
                {
                    self->retry_or_fail();
                    return;
                }
                self->read();
            });
    }

    void read()
    {
        http::async_read_some(
            *m_socket, m_buffer, m_parser,
            [self = shared_from_this()](error_code error, std::size_t)
            {
                if (self->m_finished)
                {
                    return;
                }
                if (error)
                {
                    self->retry_or_fail();
                    return;
                }
                if (self->m_parser.is_done())
                {
                    self->complete();
                    return;
                }
                self->extend_deadline();
                self->read();
            });
    }

    /// Allows time for the next part of a response that has begun.
    void extend_deadline()
    {
        auto const now = state::clock::now();
        if (!m_response_began)
        {
            m_response_began = now;
        }
        m_deadline = std::max(
            m_deadline,
            std::min(now + max_silence, *m_response_began + max_transfer_time));
    }

    void complete()
    {
        auto response = m_parser.release();
        if (response.keep_alive() &&
            m_owner->m_idle.size() < max_idle_connections)
        {
            m_owner->m_idle.push_back(
                {std::move(m_socket), state::clock::now()});
        }
        platform::http_response result{
            response.result_int(), std::move(response.body()), {}};
        for (auto const& field : response)
        {
            result.m_headers.emplace_back(field.name_string(), field.value());
        }
        finish({std::move(result), request_failure::none});
    }

    /// Sends a GET again on a new connection if a reused one broke before the
    /// response began: the server may have closed the idle connection. Other
    /// methods aren't repeated, because the request may have been executed.
    void retry_or_fail()
    {
        bool const retry = m_reused && m_request.method() == http::verb::get &&
                           !m_parser.is_header_done();
        if (!retry)
        {
            finish({std::nullopt, request_failure::no_response});
            return;
        }
        m_reused = false;
        m_sent = false;
        m_buffer.clear();
        connect();
    }

    request_failure failure() const
    {
        return m_sent ? request_failure::no_response
                      : request_failure::not_connected;
    }

    void finish(request_result result)
    {
        if (m_finished)
        {
            return;
        }
        m_finished = true;
        m_timer.cancel();
        if (m_socket)
        {
            reset_when_closed(*m_socket);
            error_code ignored; // the connection is discarded in any case
            m_socket->close(ignored);
        }
        auto const done = std::move(m_done);
        done(std::move(result));
    }

    std::shared_ptr<http_client> m_owner;
    asio::steady_timer m_timer;
    handler m_done;
    guard m_may_send;
    connection m_socket;
    http::request<http::string_body> m_request;
    http::response_parser<http::string_body> m_parser;
    boost::beast::flat_buffer m_buffer;
    state::time_point m_deadline;
    std::optional<state::time_point> m_response_began;
    bool m_reused = false;
    bool m_sent = false;
    bool m_finished = false;
};

http_client::http_client(asio::io_context& context, std::string address,
                         connection_settings settings)
    : m_context(context),
      m_address(std::move(address)),
      m_settings(settings)
{
}

void http_client::send(platform::http_request const& request,
                       state::duration timeout, handler done, guard may_send)
{
    std::make_shared<exchange>(shared_from_this(), std::move(done),
                               std::move(may_send))
        ->start(request, timeout);
}

http_client::connection http_client::take_idle()
{
    auto const oldest = state::clock::now() - max_idle_time;
    std::erase_if(m_idle, [oldest](auto const& each)
                  { return each.m_idle_since < oldest; });
    if (m_idle.empty())
    {
        return nullptr;
    }
    auto socket = std::move(m_idle.back().m_socket);
    m_idle.pop_back();
    return socket;
}

void http_client::set_address(std::string address)
{
    if (address != m_address)
    {
        m_address = std::move(address);
        m_idle.clear();
    }
}

} // namespace camphortide::proxy
