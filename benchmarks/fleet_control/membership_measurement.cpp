#include "measurement.hpp"

#include <algorithm>
#include <cstdio>

namespace state = camphortide::state;
using state::duration;

namespace
{

constexpr duration coarse_step{50};

state::instance_state seen(control_node const& node, std::string const& whom)
{
    for (auto const& record : node.members().view())
    {
        if (record.m_name == whom)
        {
            return record.m_state;
        }
    }
    return state::instance_state::gone;
}

/// @return true if every node sees each of some others live or not
bool all_see(control_fleet const& fleet, std::vector<std::size_t> const& whom,
             bool live)
{
    for (auto const& [index, node] : fleet.nodes())
    {
        auto const view = node->members().view();
        for (std::size_t const subject : whom)
        {
            auto const place =
                std::ranges::find(view, control_fleet::name(subject),
                                  &state::instance_record::m_name);
            bool const is_live =
                place != view.end() && state::is_live(place->m_state);
            if (is_live != live)
            {
                return false;
            }
        }
    }
    return true;
}

duration detect_death(control_fleet& fleet)
{
    auto const victim = fleet.nodes().size() / 2;
    fleet.kill(victim);
    return fleet.run_until([&] { return all_see(fleet, {victim}, false); },
                           limit, coarse_step);
}

duration suspect_death(control_fleet& fleet)
{
    auto const victim = fleet.nodes().size() / 2;
    fleet.kill(victim);
    return fleet.run_until(
        [&]
        {
            return std::ranges::any_of(
                fleet.nodes(),
                [&](auto const& item)
                {
                    return seen(*item.second, control_fleet::name(victim)) ==
                           state::instance_state::suspected;
                });
        },
        limit, coarse_step);
}

duration learn_leaving(control_fleet& fleet)
{
    auto const leaving = fleet.nodes().size() / 2;
    fleet.at(leaving).leave(fleet.now());
    return fleet.run_until([&] { return all_see(fleet, {leaving}, false); },
                           limit, coarse_step);
}

duration learn_newcomer(control_fleet& fleet)
{
    auto const added = fleet.nodes().rbegin()->first + 1;
    fleet.start(added);
    return fleet.run_until([&] { return all_see(fleet, {added}, true); }, limit,
                           coarse_step);
}

duration newcomer_ready(control_fleet& fleet)
{
    auto const added = fleet.nodes().rbegin()->first + 1;
    fleet.m_store_up = false;
    fleet.run(duration(10'000));
    fleet.start(added);
    return fleet.run_until([&] { return fleet.at(added).follower().ready(); },
                           limit, coarse_step);
}

duration lose_data_centre(control_fleet& fleet)
{
    std::vector<std::size_t> lost;
    for (auto const& [index, node] : fleet.nodes())
    {
        if (control_fleet::data_centre_of(index) == 1)
        {
            lost.push_back(index);
        }
    }
    for (std::size_t const index : lost)
    {
        fleet.kill(index);
    }
    return fleet.run_until([&] { return all_see(fleet, lost, false); }, limit,
                           coarse_step);
}

duration join_regions(control_fleet& fleet)
{
    std::vector<std::size_t> all;
    for (auto const& [index, node] : fleet.nodes())
    {
        all.push_back(index);
    }
    fleet.m_regions_apart = true;
    fleet.run(outage);
    fleet.reset_counts();
    fleet.m_regions_apart = false;
    return fleet.run_until([&] { return all_see(fleet, all, true); }, limit,
                           coarse_step);
}

} // namespace

void measure_membership(std::size_t nodes, sizes const& wanted)
{
    struct membership_case
    {
        char const* m_name;
        duration (*m_measure)(control_fleet&);
    };
    static constexpr membership_case cases[]{
        {"death: first suspicion", suspect_death},
        {"death: gone everywhere", detect_death},
        {"explicit leaving known everywhere", learn_leaving},
        {"newcomer known everywhere", learn_newcomer},
        {"newcomer ready while the store is down", newcomer_ready},
        {"a data centre lost: all gone everywhere", lose_data_centre},
        {"regions apart for 120 s: all live again everywhere", join_regions},
    };
    std::printf("\n## Membership, %zu nodes\n\n"
                "| event | least s | median s | most s |\n|---|---|---|---|\n",
                nodes);
    double most = 0;
    for (auto const& measured : cases)
    {
        if (!wants_case(wanted, measured.m_name))
        {
            continue;
        }
        std::vector<duration> times;
        for (std::size_t seed = 1; seed <= wanted.m_repeats; ++seed)
        {
            control_fleet fleet(nodes, 10, seed);
            fleet.run(long_settling);
            fleet.reset_counts();
            times.push_back(measured.m_measure(fleet));
            if (measured.m_measure == join_regions)
            {
                most = std::max(most, sum_up(fleet).m_most_bytes /
                                          seconds(times.back()) / kilobyte);
            }
        }
        print_spread(measured.m_name, times);
    }
    std::printf("\nMost of one node while the regions join: %.2f KB/s\n", most);
}
