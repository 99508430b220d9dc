#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

// Boost 1.74 needs it before Asio with C++20.
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <camphortide/platform/store_protocol.hpp>
#include <camphortide/state/clock.hpp>

namespace camphortide::proxy
{

/// How a call without an answer ended.
enum class call_failure
{
    none,
    refused,  ///< no connection: nothing was sent
    withheld, ///< the guard said no: nothing was sent
    lost      ///< it was sent, or may have been
};

/// What a call brought.
struct call_result
{
    std::optional<platform::http_response> m_answer;
    call_failure m_failure = call_failure::none;
};

/// Calls one HTTP/1.1 server. Keeps a few connections; one on which an answer
/// failed to come is closed.
class http_client : public std::enable_shared_from_this<http_client>
{
public:
    using handler = std::function<void(call_result)>;
    using guard = std::function<bool()>;

    /// @param address host:port
    http_client(boost::asio::io_context& context, std::string address);

    /// Makes a call.
    /// @param limit the time for all of it
    /// @param done called once, never before call() returns
    /// @param may_send asked right before the request is written
    void call(platform::http_request const& request, state::duration limit,
              handler done, guard may_send = nullptr);

    /// Uses another server from the next call on.
    void set_address(std::string address);

    std::string const& address() const { return m_address; }

private:
    class exchange;
    using connection = std::unique_ptr<boost::asio::ip::tcp::socket>;

    boost::asio::io_context& m_context;
    std::string m_address;
    std::vector<connection> m_idle;
};

} // namespace camphortide::proxy
