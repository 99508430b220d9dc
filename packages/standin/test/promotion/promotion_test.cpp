#include <random>
#include <string>
#include <variant>

#include <doctest/doctest.h>

#include <camphortide/standin/model/manual_clock_group.hpp>

namespace coordination = camphortide::coordination;
namespace standin = camphortide::standin;
namespace state = camphortide::state;
using standin::manual_clock_group;

namespace
{

constexpr state::duration time_limit{3000};

std::size_t wait_until_stable(manual_clock_group& group)
{
    REQUIRE(
        group.run_until([&] { return group.monitors_agree(); }, time_limit));
    group.run(state::duration(500));
    REQUIRE(group.monitors_agree());
    return *group.current_primary();
}

bool replaced(manual_clock_group& group, std::size_t old_primary)
{
    return group.run_until(
        [&] {
            return group.monitors_agree() &&
                   *group.current_primary() != old_primary;
        },
        time_limit);
}

bool logs_are_equal(manual_clock_group& group, std::size_t members)
{
    for (std::size_t member = 1; member < members; ++member)
    {
        if (group.member(member).log() != group.member(0).log())
        {
            return false;
        }
    }
    return true;
}

template <class Action>
std::size_t const kind = coordination::group_action(Action()).index();

std::size_t kind_of(coordination::group_action const& action)
{
    return action.index();
}

} // namespace

TEST_CASE("a group that starts without a primary promotes one")
{
    for (std::size_t const members : {1U, 2U, 3U, 5U})
    {
        CAPTURE(members);
        manual_clock_group group(members, 2);
        wait_until_stable(group);
        CHECK(group.write(0, "x"));
        CHECK(group.one_primary_per_term());
    }
}

TEST_CASE("a lost primary is replaced and replicated writes are kept")
{
    struct row
    {
        std::size_t m_members;
        std::size_t m_monitors;
        bool m_unresponsive;
    };
    constexpr row rows[] = {
        {3, 1, false}, {3, 2, true}, {3, 8, false}, {5, 3, true}};
    for (auto const& row : rows)
    {
        auto const members = row.m_members;
        CAPTURE(members);
        CAPTURE(row.m_monitors);
        manual_clock_group group(members, row.m_monitors);
        auto const old_primary = wait_until_stable(group);
        REQUIRE(group.write(0, "x"));
        group.run(state::duration(20));
        group.kill(old_primary, row.m_unresponsive);
        REQUIRE(replaced(group, old_primary));
        CHECK(group.member(*group.current_primary()).rows().contains("x"));
        auto const current_primary = *group.current_primary();
        group.start(old_primary);
        group.run(time_limit);
        CHECK(*group.current_primary() == current_primary);
        CHECK(logs_are_equal(group, members));
        CHECK(group.one_primary_per_term());
    }
}

TEST_CASE("a primary that restarted is replaced without a timeout")
{
    manual_clock_group group(3, 2);
    auto const old_primary = wait_until_stable(group);
    auto const term = group.member(old_primary).followed();
    group.kill(old_primary);
    group.run(state::duration(5));
    group.start(old_primary);
    CHECK(group.run_until(
        [&]
        {
            return group.monitors_agree() &&
                   group.member(*group.current_primary()).followed() > term;
        },
        state::duration(300)));
}

TEST_CASE("a broken connection hastens the replacement of a primary")
{
    struct row
    {
        bool m_unresponsive;
        state::duration m_min;
        state::duration m_max;
    };
    constexpr row rows[] = {{false, state::duration(120), state::duration(400)},
                            {true, state::duration(450), state::duration(700)}};
    for (auto const& row : rows)
    {
        CAPTURE(row.m_unresponsive);
        manual_clock_group group(3, 2);
        auto const old_primary = wait_until_stable(group);
        group.kill(old_primary, row.m_unresponsive);
        auto const lost_at = group.now();
        REQUIRE(replaced(group, old_primary));
        auto const gap = group.now() - lost_at;
        CAPTURE(gap.count());
        CHECK(gap >= row.m_min);
        CHECK(gap <= row.m_max);
    }
}

TEST_CASE("competing monitors promote one primary, even without jitter")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed)
    {
        CAPTURE(seed);
        coordination::group_settings settings;
        settings.m_settle = state::duration(0);
        settings.m_jitter = state::duration(0);
        manual_clock_group group(3, 6, seed, settings);
        auto const old_primary = wait_until_stable(group);
        group.kill(old_primary, true);
        CHECK(replaced(group, old_primary));
        CHECK(group.one_primary_per_term());
    }
}

TEST_CASE("another monitor takes over if one stops during a promotion")
{
    struct row
    {
        std::size_t m_kind;
        std::size_t m_count; ///< number of the message that stops it, from 1
        bool m_request;      ///< true: at the request; false: at the reply
    };
    using namespace coordination;
    row const rows[] = {
        {kind<send_fence>, 1, true},    {kind<send_fence>, 2, true},
        {kind<send_fence>, 3, true},    {kind<send_fence>, 1, false},
        {kind<send_fence>, 2, false},   {kind<send_promote>, 1, true},
        {kind<send_promote>, 1, false}, {kind<send_follow>, 1, true},
        {kind<send_follow>, 1, false}};
    for (auto const& row : rows)
    {
        CAPTURE(row.m_kind);
        CAPTURE(row.m_count);
        CAPTURE(row.m_request);
        manual_clock_group group(3, 2);
        auto const old_primary = wait_until_stable(group);
        std::size_t seen = 0;
        bool stopped = false;
        auto const stop_monitor =
            [&](std::size_t monitor, group_action const& action)
        {
            bool const matches = !stopped && kind_of(action) == row.m_kind &&
                                 ++seen == row.m_count;
            if (matches)
            {
                stopped = true;
                group.end(monitor);
            }
            return matches;
        };
        (row.m_request ? group.m_drop_request : group.m_drop_reply) =
            stop_monitor;
        group.kill(old_primary, true);
        REQUIRE(replaced(group, old_primary));
        group.start(old_primary);
        group.run(time_limit);
        CHECK(stopped);
        CHECK(group.monitors_agree());
        CHECK(logs_are_equal(group, 3));
        CHECK(group.one_primary_per_term());
    }
}

TEST_CASE("a monitor paused in a promotion changes nothing when resumed")
{
    using namespace coordination;
    for (std::size_t const step : {kind<send_fence>, kind<send_promote>})
    {
        CAPTURE(step);
        manual_clock_group group(3, 2);
        auto const old_primary = wait_until_stable(group);
        std::optional<std::size_t> paused_monitor;
        group.m_drop_reply =
            [&](std::size_t monitor, group_action const& action)
        {
            if (!paused_monitor && kind_of(action) == step)
            {
                paused_monitor = monitor;
                group.pause(monitor, true);
            }
            return false;
        };
        group.kill(old_primary, true);
        REQUIRE(replaced(group, old_primary));
        REQUIRE(paused_monitor);
        group.run(time_limit);
        auto const term = group.member(*group.current_primary()).followed();
        group.pause(*paused_monitor, false);
        group.run(time_limit);
        CHECK(group.monitors_agree());
        CHECK(group.member(*group.current_primary()).followed() == term);
    }
}

TEST_CASE("a promotion waits for a stopped member only if necessary")
{
    manual_clock_group three(3, 2);
    auto const old_primary = wait_until_stable(three);
    auto const other = (old_primary + 1) % 3;
    three.kill(other);
    three.run(state::duration(500));
    three.kill(old_primary);
    three.run(time_limit);
    CHECK_FALSE(three.current_primary());
    three.start(other);
    CHECK(replaced(three, old_primary));

    manual_clock_group five(5, 2);
    auto const first = wait_until_stable(five);
    five.kill((first + 1) % 5);
    five.kill(first);
    CHECK(replaced(five, first));
}

TEST_CASE("two successive primaries can be lost")
{
    manual_clock_group group(5, 2);
    auto const first = wait_until_stable(group);
    REQUIRE(group.write(0, "x"));
    group.run(state::duration(20));
    group.kill(first);
    REQUIRE(replaced(group, first));
    auto const second = *group.current_primary();
    group.kill(second);
    REQUIRE(replaced(group, second));
    CHECK(*group.current_primary() != first);
    CHECK(group.member(*group.current_primary()).rows().contains("x"));
}

TEST_CASE("lost requests and replies are retried")
{
    for (std::uint64_t const seed : {1U, 2U, 3U, 4U})
    {
        CAPTURE(seed);
        manual_clock_group group(3, 2, seed);
        auto const old_primary = wait_until_stable(group);
        std::mt19937_64 engine(seed);
        auto const drop = [&](std::size_t, coordination::group_action const&)
        {
            return engine() % 2 == 0;
        };
        group.m_drop_reply = drop;
        group.kill(old_primary);
        CHECK(replaced(group, old_primary));
        group.m_drop_request = drop;
        group.m_drop_reply = {};
        group.start(old_primary);
        group.run(time_limit);
        auto const second = *group.current_primary();
        group.kill(second);
        CHECK(replaced(group, second));
        CHECK(group.one_primary_per_term());
    }
}

TEST_CASE("a primary cut off from the replicas is replaced")
{
    manual_clock_group group(3, 2);
    auto const old_primary = wait_until_stable(group);
    group.cut_members(old_primary, (old_primary + 1) % 3, true);
    group.cut_members(old_primary, (old_primary + 2) % 3, true);
    CHECK(replaced(group, old_primary));
    group.cut_members(old_primary, (old_primary + 1) % 3, false);
    group.cut_members(old_primary, (old_primary + 2) % 3, false);
    group.run(time_limit);
    CHECK(group.monitors_agree());
    CHECK(logs_are_equal(group, 3));
}

TEST_CASE("a replica fenced in an abandoned term follows again")
{
    manual_clock_group group(3, 2);
    auto const current_primary = wait_until_stable(group);
    auto const replica = (current_primary + 1) % 3;
    auto const unused_term = group.member(current_primary).followed().next(77);
    REQUIRE(group.member(replica).fence(unused_term, "gone"));
    group.run(time_limit * 2);
    CHECK(group.monitors_agree());
    CHECK(*group.current_primary() == current_primary);
    CHECK(group.member(replica).role() == state::member_role::replica);
    CHECK(group.write(0, "x"));
    group.run(state::duration(100));
    CHECK(logs_are_equal(group, 3));
}
