#include <memory>

#include <doctest/doctest.h>

#include <camphortide/proxy/member_pool.hpp>

namespace proxy = camphortide::proxy;
namespace state = camphortide::state;

// Guards against a pool and its connection that keep each other when the
// instance stops while the connection is being opened.
TEST_CASE("a pool ends while a connection is being opened")
{
    boost::asio::io_context context;
    // Accepts connections and never answers.
    boost::asio::ip::tcp::acceptor member(
        context, {boost::asio::ip::address_v4::loopback(), 0});
    state::member_entry entry;
    entry.m_id = std::string("m1");
    entry.m_group = std::string("g");
    entry.m_slots = 2;
    entry.m_address =
        "127.0.0.1:" + std::to_string(member.local_endpoint().port());
    auto pool = std::make_shared<proxy::member_pool>(context, entry);
    proxy::member_pool_limits limits;
    limits.m_connections = 2;
    pool->set_limits(limits);
    bool changed = false;
    pool->open_if_needed({}, [&] { changed = true; });
    context.run_for(std::chrono::milliseconds(20));
    std::weak_ptr const ended = pool;
    pool.reset();
    CHECK(ended.expired());
    CHECK_FALSE(changed);
}
