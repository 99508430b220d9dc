#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

// With C++20, Boost 1.74 needs <utility> to be included before Asio.
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <camphortide/platform/store_protocol.hpp>
#include <camphortide/state/clock.hpp>

namespace camphortide::proxy
{

/// Why a request has no response.
enum class request_failure
{
    none,
    not_connected, ///< no connection; nothing was sent
    cancelled,     ///< rejected by the guard; nothing was sent
    no_response    ///< the request was sent or may have been sent
};

/// Result of a request: a response or the reason why there is none.
struct request_result
{
    std::optional<platform::http_response> m_response;
    request_failure m_failure = request_failure::none;
};

/// How the connections of a client end.
struct connection_settings
{
    /// A connection breaks when what was sent isn't acknowledged for this long;
    /// then, what hasn't arrived doesn't arrive any more.
    state::duration m_unacknowledged_timeout{4000};
    /// Every connection is reset when it is closed, also by the end of the
    /// process, so that nothing that was sent on it arrives later.
    bool m_always_reset = false;
};

/// Sends requests to one HTTP/1.1 server. Keeps a few connections alive. Once
/// a response has failed to arrive, all of them are closed: whatever silenced
/// one connection may have silenced the others. The connection of a request
/// that was given up is reset, so that the request doesn't arrive later.
class http_client : public std::enable_shared_from_this<http_client>
{
public:
    using handler = std::function<void(request_result)>;
    using guard = std::function<bool()>;

    /// @param address host:port
    http_client(boost::asio::io_context& context, std::string address,
                connection_settings settings = {});

    /// Sends a request.
    /// @param timeout until the response begins, including the connection
    ///     attempt; a response that has begun is awaited while it goes on
    ///     arriving
    /// @param done called once, never before send() returns unless an idle
    ///     connection is available and may_send rejects the request
    /// @param may_send called right before the request is written; the request
    ///     is cancelled if it returns false
    void send(platform::http_request const& request, state::duration timeout,
              handler done, guard may_send = nullptr);

    /// Sets the server of the next requests and closes the idle connections to
    /// the previous one.
    void set_address(std::string address);

    std::string const& address() const { return m_address; }

private:
    class exchange;
    using connection = std::unique_ptr<boost::asio::ip::tcp::socket>;

    struct idle_connection
    {
        connection m_socket;
        state::time_point m_idle_since;
    };

    /// @return the connection that was used last; empty if none may be reused
    connection take_idle();

    boost::asio::io_context& m_context;
    std::string m_address;
    connection_settings m_settings;
    std::vector<idle_connection> m_idle; ///< the one used last is the last
};

} // namespace camphortide::proxy
