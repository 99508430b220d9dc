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
    void (*m_prepare)(control_fleet&);
    void (*m_after)(control_fleet&);
    bool (*m_counts)(std::size_t);
};

bool everyone(std::size_t)
{
    return true;
}
bool near_region(std::size_t index)
{
    return !control_fleet::is_far(index);
}
void nothing(control_fleet&) {}

} // namespace

void measure_propagation(std::size_t nodes, sizes const& wanted)
{
    static constexpr propagation_case cases[]{
        {"healthy", nothing, nothing, everyone},
        {"store answers after 3 s",
         [](control_fleet& fleet)
         {
             fleet.m_store_delay = duration(3000);
             fleet.run(duration(20'000));
         },
         nothing, everyone},
        {"all watches lost silently",
         [](control_fleet& fleet) { fleet.m_watches_mute = true; }, nothing,
         everyone},
        {"change as the store is back after 120 s",
         [](control_fleet& fleet)
         {
             fleet.m_store_up = false;
             fleet.run(outage);
             fleet.m_store_up = true;
         },
         nothing, everyone},
        {"regions apart: the side with the store",
         [](control_fleet& fleet)
         {
             fleet.m_regions_apart = true;
             fleet.run(outage);
         },
         nothing, near_region},
        {"regions together again after 120 s: the other side",
         [](control_fleet& fleet)
         {
             fleet.m_regions_apart = true;
             fleet.run(outage);
         },
         [](control_fleet& fleet)
         {
             fleet.run(duration(10'000));
             fleet.m_regions_apart = false;
         },
         everyone},
    };
    std::printf("\n## From acceptance to in force everywhere, %zu nodes, 910 "
                "databases\n\n| case | least s | median s | most s |\n"
                "|---|---|---|---|\n",
                nodes);
    for (auto const& measured : cases)
    {
        if (!wants_case(wanted, measured.m_name))
        {
            continue;
        }
        std::vector<duration> times;
        for (std::size_t seed = 1; seed <= wanted.m_repeats; ++seed)
        {
            control_fleet fleet(nodes, 910, seed);
            fleet.run(settling);
            measured.m_prepare(fleet);
            fleet.change_catalogue();
            measured.m_after(fleet);
            times.push_back(fleet.run_until(
                [&] { return fleet.all_up_to_date(measured.m_counts); }, limit,
                fine_step));
        }
        print_spread(measured.m_name, times);
    }
}
