#include <algorithm>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include <camphortide/coordination/placing/connection_assignment.hpp>

namespace state = camphortide::state;
using camphortide::coordination::connection_assignment;
using camphortide::coordination::connection_changes;
using camphortide::coordination::connection_limits;
using camphortide::coordination::connection_phase;
using camphortide::coordination::connection_use;

namespace
{

using waiting_customers = connection_assignment::waiting_customers;

state::time_point at(int ms)
{
    return state::time_point(state::duration(10000 + ms));
}

connection_use idle(std::string customer, double rate, int last_used = 0)
{
    return {std::move(customer), connection_phase::idle, at(last_used), rate,
            at(-1000)};
}

connection_use used(std::string customer)
{
    return {std::move(customer), connection_phase::in_use, at(0), 1, at(-1000)};
}

connection_changes decide(std::vector<connection_use> const& connections,
                          waiting_customers const& waiting, std::size_t limit)
{
    connection_limits limits;
    limits.m_connections = limit;
    return connection_assignment(connections, waiting, limits, at(100))
        .decide();
}

using indexes = std::vector<std::size_t>;
using names = std::vector<std::string>;

} // namespace

TEST_CASE("without customers a connection is opened for each that is missing")
{
    // Guards against a change for configurations without customers: one
    // opening at a time, no closing, all connections up to the limit.
    std::vector<connection_use> connections{idle("", 100), used("")};
    CHECK(decide(connections, {{"", {1, at(200), 100, 0}}}, 4) ==
          connection_changes{});
    CHECK(decide(connections, {{"", {2, at(200), 100, 0}}}, 4).m_open ==
          names{""});
    connections.push_back({"", connection_phase::opening, at(0), 100, at(0)});
    CHECK(decide(connections, {{"", {9, at(200), 100, 0}}}, 4) ==
          connection_changes{});
    connections.back().m_phase = connection_phase::in_use;
    CHECK(decide(connections, {{"", {9, at(200), 100, 0}}}, 4).m_open ==
          names{""});
    auto const full = decide(connections, {{"", {9, at(0), 100, 0}}}, 3);
    CHECK(full.m_open.empty());
    CHECK(full.m_close.empty());
    CHECK(full.m_reclaim.empty());
}

TEST_CASE("nothing is opened or closed at an instance that isn't a home")
{
    CHECK(decide({idle("a", 1)}, {{"b", {1, at(0), 1, 1}}}, 0) ==
          connection_changes{});
}

TEST_CASE("the connection that is least likely to be needed is closed")
{
    std::vector<connection_use> connections{
        idle("a", 3, 10), idle("b", 0.1, 90), idle("c", 0.1, 20), used("d")};
    waiting_customers waiting{{"e", {1, at(400), 0, 4}}};
    auto const changes = decide(connections, waiting, 4);
    CHECK(changes.m_close == indexes{2}); // least frequent, least recent
    CHECK(changes.m_open == names{"e"});
    SUBCASE("but not while its customer has statements waiting")
    {
        waiting["c"] = {1, at(900), 0.1, 4};
        CHECK(decide(connections, waiting, 4).m_close == indexes{1});
    }
    SUBCASE("a customer's second one is needed less than another's only one")
    {
        connections[1] = idle("a", 3, 95);
        connections[2] = idle("c", 0.6, 20);
        CHECK(decide(connections, waiting, 4).m_close == indexes{0});
    }
    SUBCASE("above a lowered limit, several are closed for one opening")
    {
        auto const lowered = decide(connections, waiting, 3);
        CHECK(lowered.m_close == indexes{2, 1});
        CHECK(lowered.m_open == names{"e"});
    }
}

TEST_CASE("connections in use aren't closed")
{
    auto const changes =
        decide({used("a"), used("b")}, {{"c", {1, at(0), 1, 1}}}, 2);
    CHECK(changes.m_close.empty());
    CHECK(changes.m_open.empty());
    CHECK(changes.m_denied == names{"c"});
    CHECK(changes.m_reclaim.empty());
}

TEST_CASE("two customers are served at a time, those without one first")
{
    std::vector<connection_use> const connections{used("a"), idle("z", 0.1)};
    waiting_customers const waiting{{"a", {5, at(110), 1, 1}},
                                    {"b", {1, at(400), 1, 1}},
                                    {"c", {1, at(300), 1, 1}},
                                    {"d", {1, at(500), 1, 1}}};
    CHECK(decide(connections, waiting, 13).m_open == names{"c", "b"});
}

TEST_CASE("a hot customer leaves room for the others")
{
    // Guards against a customer with a backlog taking all connections.
    std::vector<connection_use> connections(9, used("hot"));
    connections.resize(13, idle("x", 1));
    waiting_customers waiting{{"hot", {50, at(110), 60, 35}}};
    // 35 uses per second of 50 ms occupy 1.75 connections on average; two
    // more are left for variation.
    CHECK(decide(connections, waiting, 13).m_open.empty());
    connections.erase(connections.begin());
    CHECK(decide(connections, waiting, 13).m_open == names{"hot"});
    SUBCASE("and all of the free ones if no one else uses the member")
    {
        waiting["hot"].m_rate_of_others = 0;
        std::vector<connection_use> const own(12, used("hot"));
        CHECK(decide(own, waiting, 13).m_open == names{"hot"});
    }
}

TEST_CASE("a customer with several connections yields one to one without")
{
    // Guards against starvation by a customer whose backlog never ends.
    waiting_customers const waiting{{"hot", {50, at(110), 60, 1}},
                                    {"new", {1, at(900), 0, 60}}};
    auto const idle_one =
        decide({used("hot"), used("hot"), idle("hot", 60)}, waiting, 3);
    CHECK(idle_one.m_close == indexes{2});
    CHECK(idle_one.m_open == names{"new"});
    auto const all_used =
        decide({used("hot"), used("hot"), used("hot")}, waiting, 3);
    CHECK(all_used.m_close.empty());
    CHECK(all_used.m_reclaim == std::set<std::string>{"hot"});
    CHECK(all_used.m_reclaim_count == 1);
}

TEST_CASE("a customer keeps its only connection unless another is urgent")
{
    // Guards against starvation where all connections belong to customers that
    // always have statements waiting.
    std::vector<connection_use> connections{idle("a", 9), idle("b", 9)};
    waiting_customers waiting{{"a", {9, at(400), 9, 9}},
                              {"b", {9, at(300), 9, 9}},
                              {"c", {1, at(149), 1, 18}}};
    CHECK(decide(connections, waiting, 2).m_close.empty());
    waiting["c"].m_send_by = at(148);
    CHECK(decide(connections, waiting, 2).m_close == indexes{0});
    connections[0].m_opened = at(-99); // open for less than the tenure
    CHECK(decide(connections, waiting, 2).m_close == indexes{1});
    connections[0].m_opened = at(-100);
    CHECK(decide(connections, waiting, 2).m_close == indexes{0});
    auto const in_use = decide({used("a"), used("b")}, waiting, 2);
    CHECK(in_use.m_reclaim == std::set<std::string>{"a", "b"});
    CHECK(in_use.m_reclaim_count == 1);
    waiting["a"].m_send_by = waiting["b"].m_send_by = at(148);
    CHECK(decide(connections, waiting, 2).m_close.empty());
}
