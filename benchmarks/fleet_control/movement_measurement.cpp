#include "measurement.hpp"

#include <algorithm>
#include <cstdio>

#include <camphortide/coordination/fleet/home_table.hpp>

namespace coordination = camphortide::coordination;
namespace state = camphortide::state;
using state::duration;

namespace
{

void measure_movement(std::size_t nodes)
{
    std::vector<state::instance_record> view;
    for (std::size_t index = 0; index < nodes + 1; ++index)
    {
        state::instance_record record;
        record.m_name = simulated_fleet::name(index);
        record.m_data_centre =
            "data-centre-" +
            std::to_string(simulated_fleet::data_centre_of(index));
        view.push_back(record);
    }
    std::vector<std::string> groups;
    for (std::size_t index = 0; index < 910; ++index)
    {
        groups.push_back("database-" + std::to_string(index));
    }
    auto added = view.back();
    view.pop_back();
    coordination::home_table const before(view, 2);
    auto const print = [&](char const* name, double share,
                           std::vector<state::instance_record> const& changed)
    {
        coordination::home_table const after(changed, 2);
        auto const movement =
            coordination::count_movement(before, after, groups);
        std::printf("| %zu | %s | %.2f | %.2f |\n", nodes, name, 100 * share,
                    100 * static_cast<double>(movement.m_moved) /
                        static_cast<double>(movement.m_homes));
    };
    double const count = static_cast<double>(nodes);
    auto changed = view;
    changed.erase(changed.begin() + static_cast<std::ptrdiff_t>(nodes / 2));
    print("one lost", 1 / count, changed);
    changed = view;
    changed.push_back(added);
    print("one added", 1 / (count + 1), changed);
    changed = view;
    std::erase_if(changed, [](state::instance_record const& record)
                  { return record.m_data_centre == "data-centre-1"; });
    print("a data centre lost", 1 - static_cast<double>(changed.size()) / count,
          changed);
}

} // namespace

void measure_movements(measurement_settings const& settings)
{
    std::printf("\n## Homes that move, two homes a group, 910 groups\n\n"
                "| nodes | change | share of the instances %% | homes moved %% "
                "|\n|---|---|---|---|\n");
    for (std::size_t const nodes : settings.m_nodes)
    {
        measure_movement(nodes);
    }
}
