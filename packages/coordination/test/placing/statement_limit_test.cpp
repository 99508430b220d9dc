#include <algorithm>
#include <cmath>

#include <doctest/doctest.h>

#include <camphortide/coordination/placing/statement_limit.hpp>

namespace coordination = camphortide::coordination;
namespace state = camphortide::state;
using coordination::statement_limit;
using coordination::statement_limit_inputs;

namespace
{

constexpr std::uint32_t slots = 4;
/// Round trips for ways of 0.9 and 31 ms.
constexpr int near_ms = 2;
constexpr int far_ms = 62;
constexpr int work_ms = 8;

statement_limit_inputs inputs(std::size_t homes, int least_ms, int mean_ms)
{
    return {slots, homes, state::duration(least_ms), state::duration(mean_ms),
            1000};
}

/// Finds the response time at which homes that always use their whole limit
/// are in balance with a member that queues what exceeds its slots.
/// @return the response time in ms
double balanced_response_ms(std::size_t homes, int round_trip_ms, int work)
{
    double response = round_trip_ms + work;
    for (int i = 0; i < 2000; ++i)
    {
        auto const limit = statement_limit(
            inputs(homes, round_trip_ms, static_cast<int>(response)));
        double const in_flight = static_cast<double>(limit * homes);
        double const next =
            std::max<double>(round_trip_ms + work, in_flight * work / slots);
        response += (next - response) * 0.1;
    }
    return response;
}

} // namespace

// Guards against a change for deployments in one region.
TEST_CASE("a near member gets the statements of its slots")
{
    for (int const mean_ms : {0, 3, 10, 50, 1000})
    {
        CHECK(statement_limit(inputs(1, near_ms, mean_ms)) == 12);
        CHECK(statement_limit(inputs(4, near_ms, mean_ms)) == 3);
        CHECK(statement_limit(inputs(5, near_ms, mean_ms)) == 3);
        CHECK(statement_limit(inputs(12, near_ms, mean_ms)) == 2);
        CHECK(statement_limit(inputs(1, 1, mean_ms)) == 12);
    }
    auto few_slots = inputs(1, near_ms, 10);
    few_slots.m_slots = 0;
    CHECK(statement_limit(few_slots) == 2);
}

// Guards against homes in another region that keep a far member idle while
// their statements wait for permission to be sent.
TEST_CASE("homes can use all slots of a far member")
{
    double const capacity_per_ms = static_cast<double>(slots) / work_ms;
    for (std::size_t const homes : {std::size_t{1}, std::size_t{5}})
    {
        auto const limit =
            statement_limit(inputs(homes, far_ms, far_ms + work_ms));
        double const offered_per_ms =
            static_cast<double>(limit * homes) / (far_ms + work_ms);
        CHECK(offered_per_ms >= capacity_per_ms);
    }
}

// Guards against a long queue at a far member that several homes use at once.
TEST_CASE("a far member's queue stays as short as a near member's")
{
    for (std::size_t const homes : {std::size_t{1}, std::size_t{5}})
    {
        double const far = balanced_response_ms(homes, far_ms, work_ms);
        double const near = balanced_response_ms(homes, near_ms, work_ms);
        CAPTURE(homes);
        CHECK(far - far_ms <= near - near_ms + 1);
    }
}

// Guards against more load on a member that is already slow.
TEST_CASE("the limit at a far member shrinks as the member slows down")
{
    for (std::size_t const homes : {std::size_t{1}, std::size_t{5}})
    {
        auto last = statement_limit(inputs(homes, far_ms, far_ms + work_ms));
        auto const first = last;
        for (int work = work_ms; work <= 800; work *= 2)
        {
            auto const limit =
                statement_limit(inputs(homes, far_ms, far_ms + work));
            CHECK(limit <= last);
            last = limit;
        }
        CHECK(last < first);
        CHECK(last <= statement_limit(inputs(homes, near_ms, near_ms)) + 1);
    }
}

// Guards against a limit that grows with a least response that contains the
// queue of a member overloaded for long.
TEST_CASE("the limit is bounded however long the least response is")
{
    CHECK(statement_limit(inputs(5, 700, 710)) ==
          statement_limit(inputs(5, 5000, 5010)));
    CHECK(statement_limit(inputs(5, 700, 710)) <=
          statement_limit(inputs(5, far_ms, far_ms + work_ms)));
}

// Guards against statements that the member refuses because its queue is full.
TEST_CASE("the limit never exceeds the capacity")
{
    for (std::uint32_t const capacity : {0U, 1U, 5U, 12U})
    {
        auto value = inputs(1, far_ms, far_ms + work_ms);
        value.m_capacity = capacity;
        CHECK(statement_limit(value) == std::max(capacity, 1U));
    }
}

// A member that hasn't run a statement yet gives no measure of its work.
TEST_CASE("without a measured response the distance doesn't count")
{
    CHECK(statement_limit(inputs(5, far_ms, 0)) == 3);
}
