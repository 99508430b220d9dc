#include <string>

#include <doctest/doctest.h>

#include <camphortide/standin/model/manual_clock_group.hpp>

namespace coordination = camphortide::coordination;
namespace state = camphortide::state;
using camphortide::standin::manual_clock_group;
using coordination::switchover_result;

namespace
{

constexpr state::duration time_limit{3000};

std::string name_of(std::size_t member)
{
    return std::string(1, static_cast<char>('a' + member));
}

std::size_t wait_until_stable(manual_clock_group& group)
{
    REQUIRE(
        group.run_until([&] { return group.monitors_agree(); }, time_limit));
    group.run(state::duration(500));
    return *group.current_primary();
}

void request(manual_clock_group& group, std::string const& target)
{
    group.apply(0, group.monitor(0).request_switchover(target, group.now()));
}

switchover_result only_result(manual_clock_group const& group)
{
    REQUIRE(group.m_ended_switchovers.size() == 1);
    return group.m_ended_switchovers.front().m_result;
}

} // namespace

TEST_CASE("a switchover takes at most 100 ms and loses no write")
{
    for (bool const named : {false, true})
    {
        CAPTURE(named);
        manual_clock_group group(3, 2);
        auto const old_primary = wait_until_stable(group);
        auto const target = (old_primary + 2) % 3;
        REQUIRE(group.write(0, "x"));
        request(group, named ? name_of(target) : std::string());
        CHECK(group.m_writes_paused[0]);
        REQUIRE(group.run_until([&] { return !group.m_writes_paused[0]; },
                                state::duration(100)));
        CHECK(only_result(group) == switchover_result::done);
        group.run(state::duration(100));
        REQUIRE(group.monitors_agree());
        CHECK((named ? *group.current_primary() == target
                     : *group.current_primary() != old_primary));
        CHECK(group.member(*group.current_primary()).rows().contains("x"));
        CHECK(group.write(0, "y"));
    }
}

TEST_CASE("a switchover waits for the replica and for the writes in flight")
{
    manual_clock_group group(3, 2);
    auto const old_primary = wait_until_stable(group);
    group.m_replicating = false;
    REQUIRE(group.write(0, "x"));
    request(group, {});
    group.run(state::duration(300));
    CHECK(group.current_primary() == old_primary);
    group.m_replicating = true;
    group.run(state::duration(100));
    CHECK(only_result(group) == switchover_result::done);
    CHECK(group.member(*group.current_primary()).rows().contains("x"));
}

TEST_CASE("a switchover that times out resumes writes")
{
    struct row
    {
        bool m_drains;
        bool m_replicates;
    };
    constexpr row rows[] = {{false, true}, {true, false}};
    for (auto const& row : rows)
    {
        CAPTURE(row.m_drains);
        manual_clock_group group(3, 1);
        auto const old_primary = wait_until_stable(group);
        group.m_drain_immediately = row.m_drains;
        group.m_replicating = row.m_replicates;
        REQUIRE(group.write(0, "x"));
        request(group, {});
        group.run(time_limit);
        CHECK(only_result(group) == switchover_result::timed_out);
        CHECK(group.current_primary() == old_primary);
        CHECK_FALSE(group.m_writes_paused[0]);
        CHECK(group.write(0, "y"));
    }
}

TEST_CASE("a switchover can be cancelled before its promotion")
{
    manual_clock_group group(3, 1);
    auto const old_primary = wait_until_stable(group);
    group.m_drain_immediately = false;
    request(group, {});
    group.run(state::duration(50));
    group.apply(0, group.monitor(0).cancel_switchover(group.now()));
    CHECK(only_result(group) == switchover_result::cancelled);
    CHECK_FALSE(group.m_writes_paused[0]);
    CHECK(group.current_primary() == old_primary);
}

TEST_CASE("a switchover that cannot start is rejected")
{
    manual_clock_group none(3, 1);
    request(none, {});
    CHECK(only_result(none) == switchover_result::no_primary);

    manual_clock_group group(3, 1);
    wait_until_stable(group);
    request(group, "z");
    CHECK(only_result(group) == switchover_result::unknown_member);
    group.m_ended_switchovers.clear();
    group.m_drain_immediately = false;
    request(group, {});
    request(group, {});
    CHECK(only_result(group) == switchover_result::busy);
}

TEST_CASE("a primary that is lost during a switchover is replaced")
{
    manual_clock_group group(3, 2);
    auto const old_primary = wait_until_stable(group);
    group.m_drain_immediately = false;
    request(group, {});
    group.kill(old_primary);
    REQUIRE(group.run_until(
        [&] {
            return group.monitors_agree() &&
                   *group.current_primary() != old_primary;
        },
        time_limit));
    group.run(state::duration(50));
    CHECK_FALSE(group.m_writes_paused[0]);
    CHECK(group.write(0, "x"));
}

TEST_CASE("a leaving primary switches over to a member that stays")
{
    manual_clock_group group(3, 2);
    auto const old_primary = wait_until_stable(group);
    auto const leaves_too = (old_primary + 1) % 3;
    group.m_leaving[leaves_too] = true;
    group.m_leaving[old_primary] = true;
    group.run(state::duration(1000));
    REQUIRE(group.monitors_agree());
    CHECK(*group.current_primary() == (old_primary + 2) % 3);
}

TEST_CASE("a leaving member is promoted only if no other can be")
{
    manual_clock_group group(3, 2);
    auto const old_primary = wait_until_stable(group);
    group.m_leaving[(old_primary + 1) % 3] = true;
    group.run(state::duration(200));
    group.kill(old_primary);
    REQUIRE(group.run_until(
        [&] {
            return group.monitors_agree() &&
                   *group.current_primary() != old_primary;
        },
        time_limit));
    CHECK(*group.current_primary() == (old_primary + 2) % 3);

    manual_clock_group all(3, 2);
    auto const first = wait_until_stable(all);
    all.m_leaving = {true, true, true};
    all.run(state::duration(200));
    all.kill(first);
    CHECK(all.run_until(
        [&] { return all.monitors_agree() && *all.current_primary() != first; },
        time_limit));
}
