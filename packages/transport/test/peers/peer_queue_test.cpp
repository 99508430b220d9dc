#include <doctest/doctest.h>

#include <camphortide/transport/peers/peer_queue.hpp>

using namespace camphortide::transport;
using camphortide::state::duration;
using camphortide::state::time_point;

namespace
{

peer_message droppable(std::string bytes)
{
    return {{}, std::move(bytes), delivery::droppable, 0, {}};
}

peer_message reported(std::uint64_t message_id, std::int64_t expires)
{
    return {
        {}, "r", delivery::reported, message_id, time_point(duration(expires))};
}

} // namespace

TEST_CASE("a full queue drops its oldest droppable message")
{
    peer_queue queue(2);
    CHECK_FALSE(queue.push(droppable("1")).has_value());
    CHECK_FALSE(queue.push(reported(7, 10)).has_value());
    CHECK_FALSE(queue.push(droppable("2")).has_value());
    auto const dropped = queue.push(droppable("3"));
    REQUIRE(dropped.has_value());
    CHECK(dropped->m_bytes == "1");
    CHECK(queue.size() == 3);
    CHECK(queue.front()->m_message_id == 7);
}

TEST_CASE("a full queue rejects a reported message and keeps the others")
{
    peer_queue queue(1);
    queue.push(reported(1, 10));
    auto const refused = queue.push(reported(2, 10));
    REQUIRE(refused.has_value());
    CHECK(refused->m_message_id == 2);
    CHECK_FALSE(queue.push(droppable("x")).has_value());
    queue.pop();
    CHECK_FALSE(queue.push(reported(3, 10)).has_value());
    CHECK(queue.front()->m_bytes == "x");
}

TEST_CASE("reported messages expire, droppable ones do not")
{
    peer_queue queue(4);
    queue.push(reported(1, 10));
    queue.push(droppable("x"));
    queue.push(reported(2, 30));
    auto const expired = queue.expire(time_point(duration(10)));
    REQUIRE(expired.size() == 1);
    CHECK(expired.front().m_message_id == 1);
    CHECK(queue.size() == 2);
    auto const cleared = queue.clear();
    REQUIRE(cleared.size() == 1);
    CHECK(cleared.front().m_message_id == 2);
    CHECK(queue.empty());
}
