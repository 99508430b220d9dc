#include <doctest/doctest.h>

#include <camphortide/coordination/fleet/home_reachability.hpp>
#include <camphortide/coordination/fleet/home_selector.hpp>

namespace coordination = camphortide::coordination;
namespace state = camphortide::state;
using coordination::home_address;
using coordination::home_reachability;
using coordination::home_selector;
using coordination::home_state;
using coordination::link_failure;

namespace
{

state::time_point at(int ms)
{
    return state::time_point(state::duration(ms));
}

home_address const first{"a", "10.0.0.1:2"};
home_address const second{"b", "10.0.0.2:2"};

/// A selector of two homes with given states.
struct two_states
{
    two_states() { m_selector.set_homes({first, second}); }

    coordination::home_choice
    choose(std::vector<std::string> const& attempted = {}, int ms = 0) const
    {
        return m_selector.choose(
            attempted,
            [this](home_address const& home)
            { return home == first ? m_first : m_second; },
            at(ms));
    }

    home_selector m_selector;
    home_state m_first = home_state::connected;
    home_state m_second = home_state::connected;
};

} // namespace

TEST_CASE("statements go to the preferred home that is connected")
{
    two_states fixture;
    CHECK(*fixture.choose().m_home == first);
    CHECK(fixture.choose().m_connect == nullptr);
    fixture.m_first = home_state::avoided;
    CHECK(*fixture.choose().m_home == second);
    CHECK(fixture.choose().m_connect == nullptr);
}

TEST_CASE("a preferred home is connected to while another one is used")
{
    two_states fixture;
    fixture.m_first = home_state::available;
    CHECK(*fixture.choose().m_home == second);
    CHECK(*fixture.choose().m_connect == first);
}

TEST_CASE("without a connected home a statement waits for the preferred one")
{
    two_states fixture;
    fixture.m_first = fixture.m_second = home_state::available;
    CHECK(*fixture.choose().m_home == first);
    CHECK(*fixture.choose({"a"}).m_home == second);
    CHECK(fixture.choose({"a", "b"}).m_home == nullptr);
}

TEST_CASE(
    "a home that failed is used only after its link has been shown to work")
{
    two_states fixture;
    fixture.m_first = home_state::recovering;
    CHECK(*fixture.choose().m_home == second);
    CHECK(*fixture.choose().m_connect == first);
    fixture.m_second = home_state::available;
    CHECK(*fixture.choose().m_home == second);
    CHECK(*fixture.choose().m_connect == first);
    fixture.m_second = home_state::avoided;
    CHECK(fixture.choose().m_home == nullptr);
    CHECK(*fixture.choose().m_connect == first);
}

TEST_CASE("no home is chosen if all are avoided")
{
    two_states fixture;
    fixture.m_first = fixture.m_second = home_state::avoided;
    CHECK(fixture.choose().m_home == nullptr);
}

TEST_CASE("an instance that isn't a home is used again after a second, or if "
          "no other is left")
{
    two_states fixture;
    fixture.m_selector.refused("a", at(0));
    CHECK(*fixture.choose({}, 999).m_home == second);
    CHECK(*fixture.choose({}, 1000).m_home == first);
    fixture.m_second = home_state::avoided;
    CHECK(*fixture.choose({}, 1).m_home == first);
}

TEST_CASE("the time without new links to an instance doubles up to 4 s")
{
    home_reachability reachability;
    CHECK_FALSE(reachability.avoids("a", at(0)));
    int now = 0;
    for (int const backoff : {500, 1000, 2000, 4000, 4000})
    {
        reachability.failed("a", link_failure::silent, at(now));
        CHECK(reachability.avoids("a", at(now + backoff - 1)));
        CHECK_FALSE(reachability.avoids("a", at(now + backoff)));
        now += backoff;
    }
    CHECK_FALSE(reachability.avoids("b", at(now)));
    reachability.failed("a", link_failure::silent, at(now));
    reachability.responded("a");
    CHECK_FALSE(reachability.avoids("a", at(now)));
}

TEST_CASE("a process that ended is tried again sooner than a silent host")
{
    home_reachability reachability;
    reachability.failed("a", link_failure::ended, at(0));
    CHECK(reachability.avoids("a", at(49)));
    CHECK_FALSE(reachability.avoids("a", at(50)));
}
