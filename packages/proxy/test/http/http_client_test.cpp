#include "../support/slow_link.hpp"

#include <array>
#include <optional>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <doctest/doctest.h>
#include <unistd.h>

#include <camphortide/proxy/http_client.hpp>
#include <camphortide/proxy/http_server.hpp>

namespace platform = camphortide::platform;
namespace proxy = camphortide::proxy;
namespace state = camphortide::state;

namespace
{

constexpr std::size_t body_bytes = 600000;
constexpr std::size_t link_bytes_per_second = 250000;
constexpr state::duration timeout{800};

std::string local_ip()
{
    return "127.97." + std::to_string(::getpid() >> 8 & 255) + '.' +
           std::to_string(::getpid() & 255);
}

boost::asio::ip::tcp::endpoint endpoint(std::uint16_t port)
{
    return {boost::asio::ip::make_address(local_ip()), port};
}

/// Requests a large body over a slow link.
/// @param link_bytes bytes after which the link transfers nothing more
std::optional<proxy::request_result> request(std::size_t link_bytes)
{
    boost::asio::io_context context;
    proxy::http_server server(context);
    server.set_handler("/large",
                       [](platform::http_request const&,
                          proxy::http_server::responder const& respond) {
                           respond({200, std::string(body_bytes, 'x')});
                       });
    REQUIRE(server.listen(local_ip() + ":7006"));
    tests::slow_link const link(context, endpoint(7007), endpoint(7006),
                                link_bytes_per_second, link_bytes);
    auto const client =
        std::make_shared<proxy::http_client>(context, local_ip() + ":7007");
    std::optional<proxy::request_result> result;
    client->send({"GET", "/large", {}, {}}, timeout,
                 [&](proxy::request_result received)
                 { result = std::move(received); });
    auto const end = state::clock::now() + state::duration(40000);
    while (!result && state::clock::now() < end)
    {
        context.run_for(std::chrono::milliseconds(5));
    }
    return result;
}

/// A server that doesn't respond.
class silent_server
{
public:
    explicit silent_server(std::uint16_t port)
        : m_acceptor(m_context, endpoint(port))
    {
        m_acceptor.non_blocking(true);
    }

    /// Accepts a connection and reads it to its end.
    /// @param until_end how long the end is waited for
    /// @return how it ended; would_block: it didn't
    boost::system::error_code read_to_end(state::duration until_end)
    {
        boost::system::error_code error;
        boost::asio::ip::tcp::socket connection(m_context);
        m_acceptor.accept(connection, error);
        if (error)
        {
            return error;
        }
        connection.non_blocking(true);
        auto const end = state::clock::now() + until_end;
        std::array<char, 1000> bytes{};
        do
        {
            connection.read_some(boost::asio::buffer(bytes), error);
        } while ((!error || error == boost::asio::error::would_block) &&
                 state::clock::now() < end);
        return error;
    }

private:
    boost::asio::io_context m_context;
    boost::asio::ip::tcp::acceptor m_acceptor;
};

constexpr state::duration read_time{2000};

} // namespace

// Guards against requests that arrive long after their sender has given them
// up.
TEST_CASE("the connection of a request that was given up is reset")
{
    silent_server server(7008);
    boost::asio::io_context context;
    auto const client =
        std::make_shared<proxy::http_client>(context, local_ip() + ":7008");
    std::optional<proxy::request_result> result;
    client->send({"POST", "/x", "{}", {}}, state::duration(100),
                 [&](proxy::request_result received)
                 { result = std::move(received); });
    while (!result)
    {
        context.run_for(std::chrono::milliseconds(5));
    }
    CHECK(result->m_failure == proxy::request_failure::no_response);
    CHECK(server.read_to_end(read_time) ==
          boost::asio::error::connection_reset);
}

// Guards against requests that arrive after their sender's process has ended.
TEST_CASE("a client can let its connections be reset in any case")
{
    silent_server server(7009);
    {
        boost::asio::io_context context;
        auto const client = std::make_shared<proxy::http_client>(
            context, local_ip() + ":7009",
            proxy::connection_settings{state::duration(1000), true});
        client->send({"POST", "/x", "{}", {}}, timeout,
                     [](proxy::request_result const&) {});
        context.run_for(std::chrono::milliseconds(100));
    }
    CHECK(server.read_to_end(read_time) ==
          boost::asio::error::connection_reset);
}

TEST_CASE("a response that arrives slowly is received whole")
{
    auto const result = request(body_bytes * 2);
    REQUIRE(result);
    REQUIRE(result->m_response);
    CHECK(result->m_response->m_body.size() == body_bytes);
}

TEST_CASE("a response that stops arriving fails")
{
    auto const result = request(body_bytes / 2);
    REQUIRE(result);
    CHECK_FALSE(result->m_response);
    CHECK(result->m_failure == proxy::request_failure::no_response);
}
