#include <vector>

#include <doctest/doctest.h>

#include <camphortide/coordination/request/read_router.hpp>

namespace state = camphortide::state;
using namespace camphortide::coordination;
using action = read_choice::action;
using state::member_role;

namespace
{

state::time_point at(int ms)
{
    return state::time_point(state::duration(ms));
}

/// A group of three members; the first one is the primary.
struct fixture
{
    fixture()
    {
        m_members.resize(3);
        for (auto& member : m_members)
        {
            member.m_role = member_role::replica;
            member.m_free_connections = 1;
            member.m_latency = state::duration(2);
            member.m_applied = 50;
        }
        m_members[0].m_role = member_role::primary;
        m_members[0].m_applied = 60;
        m_requirement.m_source = read_requirement::source::any;
        m_requirement.m_arrival = at(300);
        m_requirement.m_deadline = deadline(at(1300));
    }

    void require(std::uint64_t index)
    {
        m_requirement.m_covered = state::log_position{state::term(7), index};
    }

    read_choice route(std::string_view strategy, int now = 300,
                      std::uint64_t random = 0) const
    {
        read_router const router(make_read_strategy(strategy));
        return router.route({m_requirement, m_members, m_samples, m_attempted,
                             false, random, at(now)});
    }

    std::vector<member_view> m_members;
    freshness m_samples{3};
    read_requirement m_requirement;
    std::uint32_t m_attempted = 0;
};

constexpr char const* replica_strategies[]{"random_replica", "covering_replica",
                                           "least_time"};

} // namespace

TEST_CASE("an unknown strategy is not created")
{
    CHECK(make_read_strategy("fastest") == nullptr);
}

TEST_CASE("a replica that covers the token serves the read")
{
    fixture group;
    group.require(50);
    for (auto const* const name : replica_strategies)
    {
        CAPTURE(name);
        auto const choice = group.route(name);
        CHECK(choice.m_action == action::send);
        CHECK(choice.m_member > 0);
    }
    CHECK(group.route("primary_only").m_member == 0);
}

TEST_CASE("the least loaded replica that covers it is chosen")
{
    fixture group;
    group.require(50);
    group.m_members[1].m_outstanding = 4;
    CHECK(group.route("covering_replica").m_member == 2);
    group.m_members[2].m_applied = 49;
    CHECK(group.route("covering_replica").m_member == 1);
}

TEST_CASE("a read waits for a replica that will cover it soon")
{
    fixture group;
    group.require(55);
    group.m_members[1].m_lag = state::duration(500);
    group.m_members[2].m_lag = state::duration(15);
    auto const choice = group.route("covering_replica");
    CHECK(choice.m_action == action::wait);
    CHECK(choice.m_until == at(315));
    SUBCASE("but goes to the primary if none will")
    {
        group.m_members[2].m_lag = state::duration(25);
        CHECK(group.route("covering_replica").m_action == action::send);
        CHECK(group.route("covering_replica").m_member == 0);
    }
    SUBCASE("but not beyond the maximum wait")
    {
        auto const late = group.route("covering_replica", 321);
        CHECK(late.m_action == action::send);
        CHECK(late.m_member == 0);
    }
}

TEST_CASE("members that cannot serve the read are skipped")
{
    fixture group;
    group.require(50);
    SUBCASE("leaving")
    {
        group.m_members[1].m_leaving = true;
    }
    SUBCASE("not reachable")
    {
        group.m_members[1].m_reachable = false;
    }
    SUBCASE("ejected")
    {
        group.m_members[1].m_share = 0;
    }
    SUBCASE("role not known")
    {
        group.m_members[1].m_role = member_role::unknown;
    }
    SUBCASE("without a connection, free or in use")
    {
        group.m_members[1].m_latency = state::duration(0);
        group.m_members[1].m_free_connections = 0;
        group.m_members[2].m_latency = state::duration(3);
    }
    SUBCASE("attempted before")
    {
        group.m_attempted = 1U << 1;
    }
    for (auto const* const name : replica_strategies)
    {
        for (std::uint64_t random = 0; random < 20; ++random)
        {
            CAPTURE(name);
            CHECK(group.route(name, 300, random).m_member == 2);
        }
    }
}

TEST_CASE("a read waits while no member has a connection")
{
    fixture group;
    group.require(50);
    for (auto& member : group.m_members)
    {
        member.m_free_connections = 0;
    }
    for (auto const* const name : replica_strategies)
    {
        CHECK(group.route(name).m_action == action::wait);
    }
    CHECK(group.route("primary_only").m_action == action::wait);
}

TEST_CASE("a member with only busy connections may be selected")
{
    fixture group;
    group.require(50);
    group.m_members[1].m_free_connections = 0;
    group.m_members[1].m_outstanding = 1;
    group.m_members[2].m_latency = state::duration(90);
    CHECK(group.route("covering_replica").m_member == 1);
}

TEST_CASE("a member with a reduced share gets that fraction of the reads")
{
    fixture group;
    group.require(50);
    group.m_members[1].m_share = 0.2;
    int sent = 0;
    for (std::uint64_t random = 0; random < 1000; ++random)
    {
        sent += group.route("covering_replica", 300, random).m_member == 1;
    }
    CHECK(sent > 50);
    CHECK(sent < 150);
}

TEST_CASE("a read that requires the primary is sent to no other member")
{
    fixture group;
    group.m_requirement.m_source = read_requirement::source::primary;
    CHECK(group.route("covering_replica").m_member == 0);
    group.m_members[0].m_role = member_role::fenced;
    CHECK(group.route("covering_replica").m_action == action::wait);
    auto const late = group.route("covering_replica", 1300);
    CHECK(late.m_action == action::refuse);
    CHECK(late.m_reason == state::reason::no_primary);
}

TEST_CASE("without a primary the replicas serve the reads that they cover")
{
    fixture group;
    group.require(50);
    for (auto& member : group.m_members)
    {
        member.m_role = member_role::fenced;
    }
    CHECK(group.route("covering_replica").m_action == action::send);
    group.require(61);
    CHECK(group.route("covering_replica").m_action == action::wait);
}

TEST_CASE("an age that no sample satisfies goes to the primary")
{
    fixture group;
    group.m_requirement.m_max_age = state::duration(100);
    auto const choice = group.route("covering_replica");
    CHECK(choice.m_action == action::send);
    CHECK(choice.m_member == 0);
}
