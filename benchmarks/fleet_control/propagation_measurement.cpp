#include "measurement.hpp"

#include <algorithm>
#include <cstdio>

namespace state = camphortide::state;
using state::duration;

namespace
{

constexpr duration fine_step{10};

struct propagation_case
{
    char const* m_name;
    void (*m_prepare)(simulated_fleet&);
    void (*m_after_change)(simulated_fleet&);
    bool (*m_includes)(std::size_t);
};

bool every_node(std::size_t)
{
    return true;
}
bool in_store_region(std::size_t index)
{
    return !simulated_fleet::is_in_remote_region(index);
}
void no_action(simulated_fleet&) {}

} // namespace

void measure_propagation(std::size_t nodes,
                         measurement_settings const& settings)
{
    static constexpr propagation_case cases[]{
        {"healthy", no_action, no_action, every_node},
        {"store answers after 3 s",
         [](simulated_fleet& fleet)
         {
             fleet.m_store_delay = duration(3000);
             fleet.run(duration(20'000));
         },
         no_action, every_node},
        {"all watches lost silently",
         [](simulated_fleet& fleet) { fleet.m_watch_events_lost = true; },
         no_action, every_node},
        {"change as the store is back after 120 s",
         [](simulated_fleet& fleet)
         {
             fleet.m_store_up = false;
             fleet.run(outage_time);
             fleet.m_store_up = true;
         },
         no_action, every_node},
        {"regions apart: the side with the store",
         [](simulated_fleet& fleet)
         {
             fleet.m_regions_partitioned = true;
             fleet.run(outage_time);
         },
         no_action, in_store_region},
        {"regions together again after 120 s: the other side",
         [](simulated_fleet& fleet)
         {
             fleet.m_regions_partitioned = true;
             fleet.run(outage_time);
         },
         [](simulated_fleet& fleet)
         {
             fleet.run(duration(10'000));
             fleet.m_regions_partitioned = false;
         },
         every_node},
    };
    std::printf("\n## From acceptance to in force everywhere, %zu nodes, 910 "
                "databases\n\n| case | least s | median s | most s |\n"
                "|---|---|---|---|\n",
                nodes);
    for (auto const& measured : cases)
    {
        if (!is_selected(settings, measured.m_name))
        {
            continue;
        }
        std::vector<duration> times;
        for (std::size_t seed = 1; seed <= settings.m_repeats; ++seed)
        {
            simulated_fleet fleet(nodes, 910, seed);
            fleet.run(settling_time);
            measured.m_prepare(fleet);
            fleet.change_catalogue();
            measured.m_after_change(fleet);
            times.push_back(fleet.run_until(
                [&] { return fleet.all_up_to_date(measured.m_includes); },
                max_wait, fine_step));
        }
        print_spread(measured.m_name, times);
    }
}
