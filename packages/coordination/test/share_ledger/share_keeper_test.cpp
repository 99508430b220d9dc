#include "share_world.hpp"

#include <array>

#include <doctest/doctest.h>

using namespace camphortide::coordination;
namespace state = camphortide::state;
using seconds = std::chrono::seconds;

namespace
{

/// Two homes that want everything and have settled.
struct settled_pair
{
    settled_pair() { m_world.run(seconds(60)); }

    share_world m_world;
    home_model& m_a = m_world.add("a");
    home_model& m_b = m_world.add("b");
};

std::int64_t amount(home_model const& home, share_key const& key,
                    state::time_point now)
{
    return home.m_keeper.allowance(key, now).m_amount;
}

} // namespace

TEST_CASE("two homes divide a limit and use all of it")
{
    settled_pair pair;
    auto& world = pair.m_world;
    CHECK(amount(pair.m_a, connections_key, world.now()) == 8);
    CHECK(amount(pair.m_b, connections_key, world.now()) == 8);
    CHECK(world.firm(rate_key) == rate_limit);
    CHECK(world.open() == connection_limit);
    CHECK(world.refused() == 0);
}

TEST_CASE("a settled ledger takes no writes")
{
    settled_pair pair;
    auto const before = pair.m_world.version();
    pair.m_world.run(seconds(300));
    CHECK(pair.m_world.version() == before);
}

TEST_CASE("a share follows the demand")
{
    settled_pair pair;
    pair.m_a.m_wanted = 2;
    pair.m_world.run(seconds(30));
    auto const now = pair.m_world.now();
    CHECK(amount(pair.m_a, connections_key, now) == 2);
    CHECK(amount(pair.m_b, connections_key, now) == 14);
    CHECK(pair.m_world.most_firm() <= connection_limit);
    CHECK(pair.m_world.most_rate() <= rate_limit);
}

TEST_CASE("a home that leaves gives its share back at once")
{
    settled_pair pair;
    pair.m_a.m_keeper.leave();
    pair.m_world.run(seconds(3));
    CHECK(pair.m_a.m_keeper.left());
    pair.m_world.run(seconds(6));
    CHECK(amount(pair.m_b, connections_key, pair.m_world.now()) ==
          connection_limit);
    CHECK(pair.m_world.refused() == 0);
}

TEST_CASE("a dead home's share is unused for its silence and the takeover")
{
    settled_pair pair;
    auto& world = pair.m_world;
    world.kill(pair.m_a);
    world.run(gone_after + seconds(14));
    CHECK(amount(pair.m_b, connections_key, world.now()) == 8);
    world.run(seconds(4));
    CHECK(amount(pair.m_b, connections_key, world.now()) == connection_limit);
    CHECK_FALSE(world.ledger().holds(pair.m_a.m_id));
}

TEST_CASE("holders keep what they hold while the store is down")
{
    settled_pair pair;
    auto& world = pair.m_world;
    world.m_store_down = true;
    world.run(seconds(3600));
    auto const held = pair.m_a.m_keeper.allowance(connections_key, world.now());
    CHECK(held == share_allowance{8, share_certainty::guarded});
    CHECK(world.usable(rate_key) == rate_limit);
    world.m_store_down = false;
    world.run(seconds(10));
    CHECK(world.firm(connections_key) == connection_limit);
    CHECK(world.refused() == 0);
}

TEST_CASE("a home that starts during an outage holds nothing")
{
    settled_pair pair;
    auto& world = pair.m_world;
    world.m_store_down = true;
    world.run(seconds(20));
    auto& late = world.add("c");
    world.run(seconds(20));
    CHECK(amount(late, rate_key, world.now()) == 0);
    late.m_keeper.set_unheld(2);
    CHECK(late.m_keeper.allowance(rate_key, world.now()) ==
          share_allowance{rate_limit / 2, share_certainty::guarded});
}

TEST_CASE("a paused home is not firm when it wakes, and adapts")
{
    settled_pair pair;
    auto& world = pair.m_world;
    world.add("c").m_wanted = 0;
    world.run(seconds(30));
    pair.m_a.m_paused = true;
    world.run(seconds(40));
    CHECK(amount(pair.m_b, connections_key, world.now()) == connection_limit);
    pair.m_a.m_paused = false;
    CHECK(
        pair.m_a.m_keeper.allowance(connections_key, world.now()).m_certainty ==
        share_certainty::guarded);
    world.run(seconds(40));
    CHECK(world.most_firm() <= connection_limit);
    CHECK(world.firm(connections_key) == connection_limit);
    CHECK(amount(pair.m_a, connections_key, world.now()) == 8);
}

TEST_CASE("a home cut off from everything stops using divided rates")
{
    settled_pair pair;
    auto& world = pair.m_world;
    world.add("c");
    world.run(seconds(30));
    pair.m_a.m_store_cut = true;
    pair.m_a.m_peers_cut = true;
    world.run(seconds(60));
    CHECK(amount(pair.m_a, rate_key, world.now()) == 0);
    CHECK(world.most_rate() <= rate_limit);
    CHECK(world.most_firm() <= connection_limit);
    CHECK(amount(pair.m_a, connections_key, world.now()) > 0);
    CHECK(world.open() <= connection_limit);
}

TEST_CASE("a home that was retired uses nothing on mere contact")
{
    settled_pair pair;
    auto& world = pair.m_world;
    world.add("c");
    world.run(seconds(30));
    pair.m_a.m_store_cut = true;
    pair.m_a.m_peers_cut = true;
    world.run(seconds(7));
    CHECK(world.ledger().retired(pair.m_a.m_id));
    pair.m_a.m_peers_cut = false;
    world.run(seconds(20));
    CHECK_FALSE(world.ledger().holds(pair.m_a.m_id));
    CHECK(amount(pair.m_a, rate_key, world.now()) == 0);
    CHECK(world.most_rate() <= rate_limit);
}

TEST_CASE("a lowered limit is reached by giving back")
{
    settled_pair pair;
    auto& world = pair.m_world;
    pair.m_a.m_keeper.set_limits(2, {{connections_key, 6}});
    world.run(seconds(20));
    CHECK(world.firm(connections_key) == 6);
    CHECK(world.firm(rate_key) == 0);
    CHECK(world.open() == 6);
}

TEST_CASE("a write that may yet take effect binds its sender")
{
    settled_pair pair;
    auto& world = pair.m_world;
    CHECK(amount(pair.m_a, rate_key, world.now()) == 10000);
    pair.m_a.m_wanted = 2;
    world.m_late = 1;
    world.run(seconds(1));
    world.m_late = 0;
    pair.m_a.m_wanted = 16;
    world.run(seconds(10));
    CHECK(world.version() == pair.m_a.m_keeper.version());
    CHECK(amount(pair.m_a, rate_key, world.now()) == 3000);
    world.run(seconds(60));
    CHECK(amount(pair.m_a, rate_key, world.now()) == 10000);
    CHECK(world.most_rate() <= rate_limit);
}

TEST_CASE("a write whose reply is on its way binds its sender")
{
    settled_pair pair;
    auto& world = pair.m_world;
    pair.m_a.m_reply_delay = state::duration(1500);
    for (int round = 0; round < 20; ++round)
    {
        pair.m_a.m_wanted = round % 2 == 0 ? 2 : 16;
        world.run(seconds(12));
    }
    CHECK(world.most_firm() <= connection_limit);
    CHECK(world.most_rate() <= rate_limit);
    CHECK(world.refused() == 0);
}

TEST_CASE("a relayed confirmation keeps a share firm")
{
    settled_pair pair;
    auto const& keeper = pair.m_a.m_keeper;
    auto const later = pair.m_world.now() + seconds(20);
    CHECK(keeper.allowance(connections_key, later).m_certainty ==
          share_certainty::guarded);
    pair.m_a.m_keeper.confirmed(keeper.version(), later - seconds(5));
    CHECK(keeper.allowance(connections_key, later).m_certainty ==
          share_certainty::firm);
    pair.m_a.m_keeper.confirmed(keeper.version() + 1, later);
    CHECK(keeper.allowance(connections_key, later + seconds(6)).m_certainty ==
          share_certainty::guarded);
}

TEST_CASE("under random faults the firm shares stay within the limit")
{
    for (std::uint64_t seed = 1; seed <= 40; ++seed)
    {
        CAPTURE(seed);
        share_world world;
        world.m_random.seed(seed);
        std::mt19937_64 random(seed);
        world.m_reply_lost = 0.1;
        world.m_late = 0.1;
        for (char name = 'a'; name <= 'd'; ++name)
        {
            world.add(std::string(1, name));
        }
        for (int round = 0; round < 200; ++round)
        {
            auto& homes = world.homes();
            auto& home = *homes[random() % homes.size()];
            home.m_reply_delay = state::duration(
                static_cast<state::duration::rep>(random() % 1500));
            switch (random() % 8)
            {
            case 0:
                world.m_store_down = !world.m_store_down;
                break;
            case 1:
                home.m_store_cut = !home.m_store_cut;
                break;
            case 2:
                home.m_peers_cut = !home.m_peers_cut;
                break;
            case 3:
                home.m_paused = !home.m_paused;
                break;
            case 4:
                if (!home.m_dead && homes.size() < 12)
                {
                    world.kill(home);
                    world.add(home.m_id.m_instance);
                }
                break;
            default:
                home.m_wanted = static_cast<std::int64_t>(random() % 17);
                break;
            }
            world.m_late_by = state::duration(
                static_cast<state::duration::rep>(random() % 30000));
            world.run(state::duration(
                static_cast<state::duration::rep>(random() % 8000)));
            REQUIRE(world.most_firm() <= connection_limit);
            REQUIRE(world.most_rate() <= rate_limit);
            REQUIRE(world.open() <= connection_limit);
        }
        CHECK(world.version() > 10);
    }
}
