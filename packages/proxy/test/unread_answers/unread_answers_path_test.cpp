#include "../support/limited_deployment.hpp"

#include <algorithm>
#include <set>

#include <doctest/doctest.h>

using tests::deployment;
using tests::limited_deployment;
using tests::running_instance;
using tests::wait_for;

namespace
{

using boost::asio::ip::tcp;

constexpr std::size_t value_bytes = 100000;
constexpr int flood_statements = 2000;
/// Answers that fit into the buffers of the system, several times.
constexpr std::size_t max_flood_answers = 200;

/// A caller that sends statements without reading their answers.
class flooding_caller
{
public:
    flooding_caller(std::string const& host, std::string const& before)
        : m_socket(m_context)
    {
        tcp::endpoint const endpoint(boost::asio::ip::make_address(host), 7001);
        m_socket.open(endpoint.protocol());
        m_socket.set_option(tcp::socket::receive_buffer_size(65536));
        m_socket.connect(endpoint);
        std::string text = "CONNECT loans test\r\n" + before;
        for (int i = 0; i < flood_statements; ++i)
        {
            text += "QUERY f" + std::to_string(i) + " FETCH big\r\n";
        }
        boost::asio::write(m_socket, boost::asio::buffer(text));
    }

    /// Reads what arrives.
    /// @param pause between two reads
    /// @param max_bytes after which it returns
    /// @return the number of bytes; the connection may have ended
    std::size_t read(std::chrono::milliseconds pause, std::size_t max_bytes)
    {
        std::size_t total = 0;
        boost::system::error_code error;
        std::vector<char> bytes(value_bytes);
        while (!error && total < max_bytes)
        {
            total += m_socket.read_some(boost::asio::buffer(bytes), error);
            std::this_thread::sleep_for(pause);
        }
        return total;
    }

private:
    boost::asio::io_context m_context;
    tcp::socket m_socket;
};

/// One instance that closes callers that read nothing for half a second.
struct flooded_deployment : deployment
{
    flooded_deployment()
        : m_instance(m_platform.address(), 1, {},
                     [](auto& settings) {
                         settings.m_max_unread_time =
                             camphortide::state::duration(500);
                     })
    {
        REQUIRE(m_instance.wait_writes());
        REQUIRE(m_instance.connect().outcome("STORE big " +
                                             std::string(value_bytes, 'x')) ==
                "COMPLETE");
    }

    /// @return the number of statements of floods that the members have run
    std::size_t flood_answers() const
    {
        auto const all = m_group.executed();
        return static_cast<std::size_t>(std::ranges::count_if(
            all, [](auto const& id) { return id.starts_with("f"); }));
    }

    running_instance m_instance;
};

void pause_for(int ms)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

} // namespace

// Guards against answers that pile up in the memory of the instance.
TEST_CASE("a caller that reads nothing isn't read from and is closed")
{
    flooded_deployment fixture;
    flooding_caller flood(fixture.m_instance.host(),
                          "QUERY b BEGIN\r\nQUERY s STORE lost 1\r\n");
    REQUIRE(wait_for([&] { return fixture.flood_answers() > 0; }));
    for (int i = 0; i < 30; ++i)
    {
        CHECK(fixture.m_instance.connect().outcome("STORE y 1") == "COMPLETE");
        pause_for(100);
    }
    CHECK(fixture.flood_answers() < max_flood_answers);
    // Its transaction was rolled back and its connection is free.
    CHECK(flood.read(std::chrono::milliseconds(0),
                     flood_statements * value_bytes) <
          max_flood_answers * value_bytes);
    CHECK(fixture.m_instance.connect().run("FETCH lost")[0] == "ROW none");
    CHECK(fixture.flood_answers() < max_flood_answers);
}

TEST_CASE("a caller that reads slowly gets all answers")
{
    flooded_deployment fixture;
    flooding_caller flood(fixture.m_instance.host(), "");
    auto const expected = max_flood_answers * value_bytes;
    CHECK(flood.read(std::chrono::milliseconds(2), expected) >= expected);
}

// Guards against a long answer that ends the link with the statements of all
// callers on it.
TEST_CASE("an answer that is too long for a link fails only its statement")
{
    limited_deployment fixture;
    REQUIRE(fixture.m_ready);
    auto const value = std::string(900000, 'x');
    REQUIRE(fixture.m_instances.front()->connect().outcome(
                "STORE big " + value) == "COMPLETE");
    for (auto const* const member : {"m1", "m2", "m3"})
    {
        fixture.m_group.change(member,
                               [](auto& state) { state.m_row_copies = 6; });
    }
    std::multiset<std::string> outcomes;
    for (auto const& each : fixture.m_instances)
    {
        auto other = each->connect();
        REQUIRE(other.outcome("BEGIN") == "COMPLETE");
        REQUIRE(other.outcome("STORE a 1") == "COMPLETE");
        outcomes.insert(each->connect().outcome("FETCH big"));
        CHECK(other.outcome("COMMIT") == "COMPLETE");
    }
    // Homes have no link to cross.
    auto const failed = outcomes.count("STMTERR FAILED");
    CHECK(failed >= 2);
    CHECK(outcomes.count("COMPLETE") + failed == fixture.m_instances.size());
}
