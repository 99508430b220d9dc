#include "allowance_simulation.hpp"

#include <cmath>

#include <doctest/doctest.h>

namespace coordination = camphortide::coordination;
namespace state = camphortide::state;
using state::duration;
using tests::allowance_scenario;
using tests::allowance_simulation;
using tests::omitted_guard;

namespace
{

constexpr duration window{5000};

/// @return the most operations that the rule allows in a window
std::size_t bound(state::operation_limit const& limit)
{
    state::allowance_rule const rule;
    double const regular = limit.m_rate_per_second * 5.0 + limit.m_burst;
    return static_cast<std::size_t>(regular * (1 + rule.m_overshoot) +
                                    rule.m_slack);
}

/// Random faults: parts of the instances are cut off, killed and restarted, and
/// the demand moves. The customer sends 4.7 times its limit.
/// @return the operations in the busiest window
std::size_t run_with_faults(std::uint64_t seed, omitted_guard omitted)
{
    coordination::seeded_sequence random(seed);
    allowance_scenario scenario;
    scenario.m_instances = 8 + random.below(53);
    scenario.m_demand = 470;
    scenario.m_max_delay = duration(1 + random.below(60));
    scenario.m_seed = seed;
    scenario.m_omitted = omitted;
    allowance_simulation fleet(scenario);
    auto const n = scenario.m_instances;
    auto const cut = random.below(2) == 0 ? n / 3 : n / 2;
    if (random.below(2) == 0)
    {
        // All callers are at the instances that will be cut off.
        fleet.set_demand(0, cut, scenario.m_demand);
        fleet.set_demand(cut, n, 0);
    }
    fleet.run_until(duration(2000 + random.below(4000)));
    auto const fault = random.below(4);
    CAPTURE(fault);
    CAPTURE(n);
    switch (fault)
    {
    case 0: // a part is divided from the others
        fleet.divide([cut](std::size_t i) { return i < cut ? 1 : 0; });
        break;
    case 1: // a part is cut off, each instance by itself
        fleet.divide([cut](std::size_t i)
                     { return i < cut ? static_cast<int>(i) + 1 : 0; });
        break;
    case 2: // the keeper is killed and starts again
        fleet.kill(fleet.keeper());
        fleet.run_until(duration(6500));
        fleet.restart(fleet.keeper());
        break;
    default: // a part is killed
        for (std::size_t i = 0; i < cut; ++i)
        {
            fleet.kill(i);
        }
    }
    fleet.set_demand(0, cut, 300 + static_cast<double>(random.below(300)));
    fleet.set_demand(cut, n, 300 + static_cast<double>(random.below(300)));
    fleet.run_until(duration(10000 + random.below(3000)));
    fleet.divide([](std::size_t) { return 0; });
    fleet.run_until(duration(16000));
    return fleet.busiest_window(window);
}

} // namespace

TEST_CASE("usual demand of a customer is admitted")
{
    // The sizes of two fleets, and customers from the smallest to the largest.
    for (std::size_t const instances : {std::size_t{8}, std::size_t{60}})
    {
        for (double const limit : {3.0, 12.0, 50.0, 173.0})
        {
            CAPTURE(instances);
            CAPTURE(limit);
            allowance_scenario scenario;
            scenario.m_instances = instances;
            scenario.m_limit = {limit, limit};
            scenario.m_demand = limit / 1.6;
            allowance_simulation fleet(scenario);
            fleet.run_until(duration(20000));
            auto const expected = scenario.m_demand * 20;
            auto const admitted = static_cast<double>(
                fleet.admitted(duration(0), duration(20000)));
            // Two standard deviations of a Poisson number are allowed for.
            CHECK(admitted >= 0.97 * expected - 2 * std::sqrt(expected));
            CHECK(fleet.busiest_window(window) <= bound(scenario.m_limit));
        }
    }
}

TEST_CASE("a customer that sends several times its limit gets its limit")
{
    for (std::size_t const instances : {std::size_t{8}, std::size_t{60}})
    {
        for (double const limit : {3.0, 12.0, 50.0, 173.0})
        {
            CAPTURE(instances);
            CAPTURE(limit);
            allowance_scenario scenario;
            scenario.m_instances = instances;
            scenario.m_limit = {limit, limit};
            scenario.m_demand = limit * 4.7;
            allowance_simulation fleet(scenario);
            fleet.run_until(duration(20000));
            CHECK(fleet.busiest_window(window) <= bound(scenario.m_limit));
            CHECK(static_cast<double>(fleet.admitted(
                      duration(5000), duration(20000))) >= 0.9 * limit * 15);
            // Refusals cost no message each.
            CHECK(static_cast<double>(fleet.messages()) <
                  20.0 * 2 * 20 * static_cast<double>(instances));
        }
    }
}

TEST_CASE("demand that moves between instances is admitted")
{
    allowance_scenario scenario;
    scenario.m_instances = 60;
    scenario.m_demand = 0;
    allowance_simulation fleet(scenario);
    for (int round = 0; round < 20; ++round)
    {
        bool const odd = round % 2 != 0;
        fleet.set_demand(0, 60, 0);
        fleet.set_demand(odd ? 30 : 0, odd ? 60 : 30, 90);
        fleet.run_until(duration(1000 * (round + 1)));
    }
    CHECK(fleet.admitted(duration(0), duration(20000)) >= 1800 * 0.9);
    CHECK(fleet.busiest_window(window) <= bound(scenario.m_limit));
}

TEST_CASE("a lower limit binds within a window")
{
    allowance_scenario scenario;
    scenario.m_instances = 60;
    scenario.m_demand = 100;
    allowance_simulation fleet(scenario);
    fleet.run_until(duration(5000));
    fleet.set_limit({10, 10});
    fleet.run_until(duration(15000));
    CHECK(fleet.admitted(duration(5500), duration(10500)) <= bound({10, 10}));
    CHECK(fleet.admitted(duration(10000), duration(15000)) <= bound({10, 10}));
}

TEST_CASE("callers of the other instances are served while a keeper is dead")
{
    allowance_scenario scenario;
    scenario.m_instances = 60;
    allowance_simulation fleet(scenario);
    fleet.run_until(duration(6000));
    fleet.kill(fleet.keeper());
    fleet.run_until(duration(16000));
    // The dead one's callers are gone, too: at most three of 120 parts.
    auto const served = [&](int from, int until)
    {
        return static_cast<double>(
                   fleet.admitted(duration(from), duration(until))) /
               (scenario.m_demand * (until - from) / 1000.0);
    };
    CHECK(served(6000, 9000) >= 0.6);
    CHECK(served(12500, 16000) >= 0.9);
}

TEST_CASE("the rule holds under cuts, deaths and restarts")
{
    for (std::uint64_t seed = 1; seed <= 60; ++seed)
    {
        CAPTURE(seed);
        CHECK(run_with_faults(seed, omitted_guard::none) <= bound({100, 100}));
    }
}

TEST_CASE("the check of the rule notices a missing guard")
{
    for (auto const omitted :
         {omitted_guard::reservation, omitted_guard::restriction})
    {
        std::size_t broken = 0;
        for (std::uint64_t seed = 1; seed <= 60; ++seed)
        {
            broken +=
                run_with_faults(seed, omitted) > bound({100, 100}) ? 1 : 0;
        }
        CAPTURE(static_cast<int>(omitted));
        CHECK(broken > 0);
    }
}
