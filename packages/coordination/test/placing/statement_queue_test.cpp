#include <doctest/doctest.h>

#include <camphortide/coordination/placing/statement_queue.hpp>

namespace coordination = camphortide::coordination;
namespace state = camphortide::state;
using coordination::statement_queue;
using coordination::waiting_statement;

namespace
{

state::time_point at(int ms)
{
    return state::time_point(state::duration(ms));
}

waiting_statement item(std::uint64_t number, int arrived, int target,
                       std::uint32_t priority = 1)
{
    return {number,   at(arrived), at(target), at(target + 1000),
            priority, false};
}

} // namespace

TEST_CASE("statements that can still be in time come first, by their send time")
{
    statement_queue queue;
    queue.push(item(1, 0, 50));
    queue.push(item(2, 0, 300));
    queue.push(item(3, 10, 200));
    auto const order = queue.in_order(at(100));
    REQUIRE(order.size() == 3);
    CHECK(order[0].m_number == 3);
    CHECK(order[1].m_number == 2);
    CHECK(order[2].m_number == 1);
}

TEST_CASE("late statements are ordered by priority, then by arrival")
{
    statement_queue queue;
    queue.push(item(1, 20, 50, 2));
    queue.push(item(2, 10, 50, 2));
    queue.push(item(3, 30, 60, 0));
    auto const order = queue.in_order(at(100));
    CHECK(order[0].m_number == 3);
    CHECK(order[1].m_number == 2);
    CHECK(order[2].m_number == 1);
}

TEST_CASE("expired statements are removed at once")
{
    statement_queue queue;
    queue.push(item(1, 0, 50));
    queue.push(item(2, 0, 500));
    CHECK(queue.next_expiry() == at(1050));
    CHECK(queue.take_expired(at(1049)).empty());
    auto const gone = queue.take_expired(at(1050));
    REQUIRE(gone.size() == 1);
    CHECK(gone[0].m_number == 1);
    CHECK(queue.size() == 1);
    CHECK(queue.erase(2));
    CHECK_FALSE(queue.erase(2));
    CHECK_FALSE(queue.next_expiry().has_value());
}
