#include <doctest/doctest.h>

#include <camphortide/standin/model/manual_clock_group.hpp>

namespace state = camphortide::state;
using camphortide::standin::manual_clock_group;

namespace
{

constexpr std::size_t members = 3;
constexpr std::size_t monitors = 3;
constexpr state::duration span{10'000};

void cut_from_all(manual_clock_group& group, std::size_t)
{
    for (std::size_t member = 0; member < members; ++member)
    {
        group.cut_monitor(0, member, true);
    }
    group.run(span);
}

void cut_from_primary(manual_clock_group& group, std::size_t current_primary)
{
    for (std::size_t monitor = 0; monitor < monitors; ++monitor)
    {
        group.cut_monitor(monitor, current_primary, true);
    }
    group.run(span);
}

void cut_with_one_replica(manual_clock_group& group,
                          std::size_t current_primary)
{
    auto const replica = (current_primary + 1) % members;
    group.cut_monitor(0, current_primary, true);
    group.cut_monitor(0, (current_primary + 2) % members, true);
    group.cut_members(current_primary, replica, true);
    group.run(span);
}

void break_connections(manual_clock_group& group, std::size_t current_primary)
{
    for (int round = 0; round < 500; ++round)
    {
        for (std::size_t monitor = 0; monitor < monitors; ++monitor)
        {
            group.cut_monitor(monitor, current_primary, true);
            group.break_connection(monitor, current_primary);
        }
        group.run(state::duration(20));
    }
}

void break_with_one_replica(manual_clock_group& group,
                            std::size_t current_primary)
{
    group.cut_members(current_primary, (current_primary + 1) % members, true);
    break_connections(group, current_primary);
}

void break_during_stall(manual_clock_group& group, std::size_t current_primary)
{
    for (int round = 0; round < 20; ++round)
    {
        for (std::size_t member = 1; member < members; ++member)
        {
            group.cut_members(current_primary,
                              (current_primary + member) % members, true);
        }
        group.run(state::duration(60));
        group.break_connection(0, current_primary);
        group.run(state::duration(60));
        for (std::size_t member = 1; member < members; ++member)
        {
            group.cut_members(current_primary,
                              (current_primary + member) % members, false);
        }
        group.run(state::duration(300));
    }
}

void pause_repeatedly(manual_clock_group& group, std::size_t)
{
    for (int round = 0; round < 10; ++round)
    {
        for (std::size_t monitor = 0; monitor < monitors; ++monitor)
        {
            group.pause(monitor, true);
        }
        group.run(state::duration(200 + round * 150));
        for (std::size_t monitor = 0; monitor < monitors; ++monitor)
        {
            group.pause(monitor, false);
        }
        group.run(state::duration(100));
    }
}

void slow_messages(manual_clock_group& group, std::size_t)
{
    group.m_latency = state::duration(300);
    group.run(span);
}

void vary_latency(manual_clock_group& group, std::size_t)
{
    for (state::clock::rep round = 0; round < 20; ++round)
    {
        group.m_latency = state::duration(1 + round * 97 % 450);
        group.run(state::duration(250));
    }
}

void replica_restarts(manual_clock_group& group, std::size_t current_primary)
{
    for (int round = 0; round < 10; ++round)
    {
        auto const replica =
            (current_primary + 1 + static_cast<std::size_t>(round) % 2) %
            members;
        group.kill(replica);
        group.run(state::duration(100 * round));
        group.start(replica);
        group.run(state::duration(100));
    }
}

} // namespace

TEST_CASE("a primary that works is not replaced")
{
    struct row
    {
        char const* m_name;
        void (*m_disturb)(manual_clock_group&, std::size_t current_primary);
    };
    constexpr row rows[] = {
        {"instance cut off from all members", cut_from_all},
        {"all instances cut off from the primary", cut_from_primary},
        {"instance reaches only a replica cut off from the primary",
         cut_with_one_replica},
        {"all connections to the primary broken", break_connections},
        {"connections broken, no replication to one replica",
         break_with_one_replica},
        {"short replication stalls with a broken connection",
         break_during_stall},
        {"instances paused repeatedly", pause_repeatedly},
        {"slow messages", slow_messages},
        {"message latency varies", vary_latency},
        {"replicas restart", replica_restarts}};
    for (auto const& row : rows)
    {
        CAPTURE(row.m_name);
        manual_clock_group group(members, monitors);
        REQUIRE(group.run_until([&] { return group.monitors_agree(); },
                                state::duration(3000)));
        group.run(state::duration(500));
        auto const current_primary = *group.current_primary();
        auto const term = group.member(current_primary).followed();
        auto const promotions = group.promotions();
        row.m_disturb(group, current_primary);
        CHECK(group.promotions() == promotions);
        CHECK(group.current_primary() == current_primary);
        CHECK(group.member(current_primary).followed() == term);
    }
}
