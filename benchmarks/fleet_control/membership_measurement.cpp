#include "measurement.hpp"

#include <algorithm>
#include <cstdio>

namespace state = camphortide::state;
using state::duration;

namespace
{

constexpr duration coarse_step{50};

state::instance_state state_seen_by(simulated_node const& node,
                                    std::string const& subject)
{
    for (auto const& record : node.members().view())
    {
        if (record.m_name == subject)
        {
            return record.m_state;
        }
    }
    return state::instance_state::gone;
}

/// @return true if every node sees all subjects as live, or, with live false,
///     as not live
bool all_nodes_see(simulated_fleet const& fleet,
                   std::vector<std::size_t> const& subjects, bool live)
{
    for (auto const& [index, node] : fleet.nodes())
    {
        auto const view = node->members().view();
        for (std::size_t const subject : subjects)
        {
            auto const found =
                std::ranges::find(view, simulated_fleet::name(subject),
                                  &state::instance_record::m_name);
            bool const is_live =
                found != view.end() && state::is_live(found->m_state);
            if (is_live != live)
            {
                return false;
            }
        }
    }
    return true;
}

duration time_to_removal(simulated_fleet& fleet)
{
    auto const killed = fleet.nodes().size() / 2;
    fleet.kill(killed);
    return fleet.run_until([&]
                           { return all_nodes_see(fleet, {killed}, false); },
                           max_wait, coarse_step);
}

duration time_to_suspicion(simulated_fleet& fleet)
{
    auto const killed = fleet.nodes().size() / 2;
    fleet.kill(killed);
    return fleet.run_until(
        [&]
        {
            return std::ranges::any_of(
                fleet.nodes(),
                [&](auto const& item)
                {
                    return state_seen_by(*item.second,
                                         simulated_fleet::name(killed)) ==
                           state::instance_state::suspected;
                });
        },
        max_wait, coarse_step);
}

duration time_to_learn_leaving(simulated_fleet& fleet)
{
    auto const leaving = fleet.nodes().size() / 2;
    fleet.at(leaving).leave(fleet.now());
    return fleet.run_until([&]
                           { return all_nodes_see(fleet, {leaving}, false); },
                           max_wait, coarse_step);
}

duration time_to_learn_join(simulated_fleet& fleet)
{
    auto const added = fleet.nodes().rbegin()->first + 1;
    fleet.start(added);
    return fleet.run_until([&] { return all_nodes_see(fleet, {added}, true); },
                           max_wait, coarse_step);
}

duration time_to_ready_without_store(simulated_fleet& fleet)
{
    auto const added = fleet.nodes().rbegin()->first + 1;
    fleet.m_store_up = false;
    fleet.run(duration(10'000));
    fleet.start(added);
    return fleet.run_until([&] { return fleet.at(added).follower().ready(); },
                           max_wait, coarse_step);
}

duration time_to_remove_data_centre(simulated_fleet& fleet)
{
    std::vector<std::size_t> lost;
    for (auto const& [index, node] : fleet.nodes())
    {
        if (simulated_fleet::data_centre_of(index) == 1)
        {
            lost.push_back(index);
        }
    }
    for (std::size_t const index : lost)
    {
        fleet.kill(index);
    }
    return fleet.run_until([&] { return all_nodes_see(fleet, lost, false); },
                           max_wait, coarse_step);
}

duration time_to_merge_regions(simulated_fleet& fleet)
{
    std::vector<std::size_t> all;
    for (auto const& [index, node] : fleet.nodes())
    {
        all.push_back(index);
    }
    fleet.m_regions_partitioned = true;
    fleet.run(outage_time);
    fleet.reset_counts();
    fleet.m_regions_partitioned = false;
    return fleet.run_until([&] { return all_nodes_see(fleet, all, true); },
                           max_wait, coarse_step);
}

} // namespace

void measure_membership(std::size_t nodes, measurement_settings const& settings)
{
    struct membership_case
    {
        char const* m_name;
        duration (*m_measure)(simulated_fleet&);
    };
    static constexpr membership_case cases[]{
        {"death: first suspicion", time_to_suspicion},
        {"death: gone everywhere", time_to_removal},
        {"explicit leaving known everywhere", time_to_learn_leaving},
        {"newcomer known everywhere", time_to_learn_join},
        {"newcomer ready while the store is down", time_to_ready_without_store},
        {"a data centre lost: all gone everywhere", time_to_remove_data_centre},
        {"regions apart for 120 s: all live again everywhere",
         time_to_merge_regions},
    };
    std::printf("\n## Membership, %zu nodes\n\n"
                "| event | least s | median s | most s |\n|---|---|---|---|\n",
                nodes);
    double max_rate = 0;
    for (auto const& measured : cases)
    {
        if (!is_selected(settings, measured.m_name))
        {
            continue;
        }
        std::vector<duration> times;
        for (std::size_t seed = 1; seed <= settings.m_repeats; ++seed)
        {
            simulated_fleet fleet(nodes, 10, seed);
            fleet.run(long_settling_time);
            fleet.reset_counts();
            times.push_back(measured.m_measure(fleet));
            if (measured.m_measure == time_to_merge_regions)
            {
                max_rate =
                    std::max(max_rate, sum_counts(fleet).m_max_bytes /
                                           seconds(times.back()) / kilobyte);
            }
        }
        print_spread(measured.m_name, times);
    }
    std::printf("\nMost of one node while the regions join: %.2f KB/s\n",
                max_rate);
}
