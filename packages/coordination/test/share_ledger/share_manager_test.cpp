#include "share_simulation.hpp"

#include <array>

#include <doctest/doctest.h>

using namespace camphortide::coordination;
namespace state = camphortide::state;
using seconds = std::chrono::seconds;

namespace
{

/// Two homes with a demand for the whole limit, after the shares have settled.
struct settled_pair
{
    settled_pair() { m_simulation.run(seconds(60)); }

    share_simulation m_simulation;
    home_model& m_a = m_simulation.add("a");
    home_model& m_b = m_simulation.add("b");
};

std::int64_t amount(home_model const& home, share_key const& key,
                    state::time_point now)
{
    return home.m_manager.allowance(key, now).m_amount;
}

} // namespace

TEST_CASE("two homes divide a limit and use all of it")
{
    settled_pair pair;
    auto& simulation = pair.m_simulation;
    CHECK(amount(pair.m_a, connections_key, simulation.now()) == 8);
    CHECK(amount(pair.m_b, connections_key, simulation.now()) == 8);
    CHECK(simulation.exclusive(rate_key) == rate_limit);
    CHECK(simulation.open() == connection_limit);
    CHECK(simulation.refused() == 0);
}

TEST_CASE("a settled ledger is not written again")
{
    settled_pair pair;
    auto const before = pair.m_simulation.version();
    pair.m_simulation.run(seconds(300));
    CHECK(pair.m_simulation.version() == before);
}

TEST_CASE("a share follows the demand")
{
    settled_pair pair;
    pair.m_a.m_wanted = 2;
    pair.m_simulation.run(seconds(30));
    auto const now = pair.m_simulation.now();
    CHECK(amount(pair.m_a, connections_key, now) == 2);
    CHECK(amount(pair.m_b, connections_key, now) == 14);
    CHECK(pair.m_simulation.max_exclusive() <= connection_limit);
    CHECK(pair.m_simulation.max_usable_rate() <= rate_limit);
}

TEST_CASE("a home that leaves releases its share at once")
{
    settled_pair pair;
    pair.m_a.m_manager.leave();
    pair.m_simulation.run(seconds(3));
    CHECK(pair.m_a.m_manager.left());
    pair.m_simulation.run(seconds(6));
    CHECK(amount(pair.m_b, connections_key, pair.m_simulation.now()) ==
          connection_limit);
    CHECK(pair.m_simulation.refused() == 0);
}

TEST_CASE("a dead home's share is unused until it is gone and taken over")
{
    settled_pair pair;
    auto& simulation = pair.m_simulation;
    simulation.kill(pair.m_a);
    simulation.run(gone_after + seconds(14));
    CHECK(amount(pair.m_b, connections_key, simulation.now()) == 8);
    simulation.run(seconds(4));
    CHECK(amount(pair.m_b, connections_key, simulation.now()) ==
          connection_limit);
    CHECK_FALSE(simulation.ledger().holds(pair.m_a.m_id));
}

TEST_CASE("holders keep their shares while the store is down")
{
    settled_pair pair;
    auto& simulation = pair.m_simulation;
    simulation.m_store_down = true;
    simulation.run(seconds(3600));
    auto const held =
        pair.m_a.m_manager.allowance(connections_key, simulation.now());
    CHECK(held == share_allowance{8, share_guarantee::provisional});
    CHECK(simulation.usable(rate_key) == rate_limit);
    simulation.m_store_down = false;
    simulation.run(seconds(10));
    CHECK(simulation.exclusive(connections_key) == connection_limit);
    CHECK(simulation.refused() == 0);
}

TEST_CASE("a home that starts during a store outage holds no shares")
{
    settled_pair pair;
    auto& simulation = pair.m_simulation;
    simulation.m_store_down = true;
    simulation.run(seconds(20));
    auto& late = simulation.add("c");
    simulation.run(seconds(20));
    CHECK(amount(late, rate_key, simulation.now()) == 0);
    late.m_manager.set_fallback_homes(2);
    CHECK(late.m_manager.allowance(rate_key, simulation.now()) ==
          share_allowance{rate_limit / 2, share_guarantee::provisional});
}

TEST_CASE("a resumed home holds its share provisionally, then rebalances")
{
    settled_pair pair;
    auto& simulation = pair.m_simulation;
    simulation.add("c").m_wanted = 0;
    simulation.run(seconds(30));
    pair.m_a.m_paused = true;
    simulation.run(seconds(40));
    CHECK(amount(pair.m_b, connections_key, simulation.now()) ==
          connection_limit);
    pair.m_a.m_paused = false;
    CHECK(pair.m_a.m_manager.allowance(connections_key, simulation.now())
              .m_guarantee == share_guarantee::provisional);
    simulation.run(seconds(40));
    CHECK(simulation.max_exclusive() <= connection_limit);
    CHECK(simulation.exclusive(connections_key) == connection_limit);
    CHECK(amount(pair.m_a, connections_key, simulation.now()) == 8);
}

TEST_CASE("a home cut off from the store and its peers stops using its rate")
{
    settled_pair pair;
    auto& simulation = pair.m_simulation;
    simulation.add("c");
    simulation.run(seconds(30));
    pair.m_a.m_store_unreachable = true;
    pair.m_a.m_peers_unreachable = true;
    simulation.run(seconds(60));
    CHECK(amount(pair.m_a, rate_key, simulation.now()) == 0);
    CHECK(simulation.max_usable_rate() <= rate_limit);
    CHECK(simulation.max_exclusive() <= connection_limit);
    CHECK(amount(pair.m_a, connections_key, simulation.now()) > 0);
    CHECK(simulation.open() <= connection_limit);
}

TEST_CASE("a retired home does not use its shares after contact alone")
{
    settled_pair pair;
    auto& simulation = pair.m_simulation;
    simulation.add("c");
    simulation.run(seconds(30));
    pair.m_a.m_store_unreachable = true;
    pair.m_a.m_peers_unreachable = true;
    simulation.run(seconds(7));
    CHECK(simulation.ledger().retired(pair.m_a.m_id));
    pair.m_a.m_peers_unreachable = false;
    simulation.run(seconds(20));
    CHECK_FALSE(simulation.ledger().holds(pair.m_a.m_id));
    CHECK(amount(pair.m_a, rate_key, simulation.now()) == 0);
    CHECK(simulation.max_usable_rate() <= rate_limit);
}

TEST_CASE("a lowered limit is reached by releasing shares")
{
    settled_pair pair;
    auto& simulation = pair.m_simulation;
    pair.m_a.m_manager.set_limits(2, {{connections_key, 6}});
    simulation.run(seconds(20));
    CHECK(simulation.exclusive(connections_key) == 6);
    CHECK(simulation.exclusive(rate_key) == 0);
    CHECK(simulation.open() == 6);
}

TEST_CASE("a write that may still take effect limits its sender")
{
    settled_pair pair;
    auto& simulation = pair.m_simulation;
    CHECK(amount(pair.m_a, rate_key, simulation.now()) == 10000);
    pair.m_a.m_wanted = 2;
    simulation.m_late_write_probability = 1;
    simulation.run(seconds(1));
    simulation.m_late_write_probability = 0;
    pair.m_a.m_wanted = 16;
    simulation.run(seconds(10));
    CHECK(simulation.version() == pair.m_a.m_manager.version());
    CHECK(amount(pair.m_a, rate_key, simulation.now()) == 3000);
    simulation.run(seconds(60));
    CHECK(amount(pair.m_a, rate_key, simulation.now()) == 10000);
    CHECK(simulation.max_usable_rate() <= rate_limit);
}

TEST_CASE("a write whose reply is pending limits its sender")
{
    settled_pair pair;
    auto& simulation = pair.m_simulation;
    pair.m_a.m_reply_delay = state::duration(1500);
    for (int round = 0; round < 20; ++round)
    {
        pair.m_a.m_wanted = round % 2 == 0 ? 2 : 16;
        simulation.run(seconds(12));
    }
    CHECK(simulation.max_exclusive() <= connection_limit);
    CHECK(simulation.max_usable_rate() <= rate_limit);
    CHECK(simulation.refused() == 0);
}

TEST_CASE("a peer's confirmation keeps a share exclusive")
{
    settled_pair pair;
    auto const& manager = pair.m_a.m_manager;
    auto const later = pair.m_simulation.now() + seconds(20);
    CHECK(manager.allowance(connections_key, later).m_guarantee ==
          share_guarantee::provisional);
    pair.m_a.m_manager.confirmed(manager.version(), later - seconds(5));
    CHECK(manager.allowance(connections_key, later).m_guarantee ==
          share_guarantee::exclusive);
    pair.m_a.m_manager.confirmed(manager.version() + 1, later);
    CHECK(manager.allowance(connections_key, later + seconds(6)).m_guarantee ==
          share_guarantee::provisional);
}

TEST_CASE("under random faults the exclusive shares stay within the limit")
{
    for (std::uint64_t seed = 1; seed <= 40; ++seed)
    {
        CAPTURE(seed);
        share_simulation simulation;
        simulation.m_random.seed(seed);
        std::mt19937_64 random(seed);
        simulation.m_reply_loss_probability = 0.1;
        simulation.m_late_write_probability = 0.1;
        for (char name = 'a'; name <= 'd'; ++name)
        {
            simulation.add(std::string(1, name));
        }
        for (int round = 0; round < 200; ++round)
        {
            auto& homes = simulation.homes();
            auto& home = *homes[random() % homes.size()];
            home.m_reply_delay = state::duration(
                static_cast<state::duration::rep>(random() % 1500));
            switch (random() % 8)
            {
            case 0:
                simulation.m_store_down = !simulation.m_store_down;
                break;
            case 1:
                home.m_store_unreachable = !home.m_store_unreachable;
                break;
            case 2:
                home.m_peers_unreachable = !home.m_peers_unreachable;
                break;
            case 3:
                home.m_paused = !home.m_paused;
                break;
            case 4:
                if (!home.m_dead && homes.size() < 12)
                {
                    simulation.kill(home);
                    simulation.add(home.m_id.m_instance);
                }
                break;
            default:
                home.m_wanted = static_cast<std::int64_t>(random() % 17);
                break;
            }
            simulation.m_late_write_delay = state::duration(
                static_cast<state::duration::rep>(random() % 30000));
            simulation.run(state::duration(
                static_cast<state::duration::rep>(random() % 8000)));
            REQUIRE(simulation.max_exclusive() <= connection_limit);
            REQUIRE(simulation.max_usable_rate() <= rate_limit);
            REQUIRE(simulation.open() <= connection_limit);
        }
        CHECK(simulation.version() > 10);
    }
}
