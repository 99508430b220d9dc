#include "measurement.hpp"

#include <algorithm>
#include <cstdio>

#include <malloc.h>

namespace state = camphortide::state;
using state::duration;

namespace
{

constexpr duration measured_time{98'000}; ///< interval at 880 changes per day

std::size_t allocated_bytes()
{
    auto const info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

/// @return the number of live instances in the view that has the fewest
std::size_t min_live_count(simulated_fleet const& fleet)
{
    std::size_t result = fleet.nodes().size();
    for (auto const& [index, node] : fleet.nodes())
    {
        auto const view = node->members().view();
        auto const live =
            std::ranges::count_if(view, [](state::instance_record const& record)
                                  { return state::is_live(record.m_state); });
        result = std::min(result, static_cast<std::size_t>(live));
    }
    return result;
}

void measure_cost(std::size_t nodes, std::size_t databases)
{
    auto const before = allocated_bytes();
    simulated_fleet fleet(nodes, databases, 1);
    fleet.run(long_settling_time);
    auto const memory = allocated_bytes() - before;
    fleet.reset_counts();
    auto const min_live = min_live_count(fleet);
    fleet.run(measured_time / 2);
    fleet.change_catalogue();
    fleet.run(measured_time / 2);
    auto const sum = sum_counts(fleet);
    double const count = static_cast<double>(nodes);
    double const time = seconds(measured_time);
    std::printf(
        "| %zu | %zu | %.2f | %.2f | %.1f | %.2f | %zu | %.4f | %.4f | "
        "%.0f | %.0f | %.1f | %zu |\n",
        nodes, databases, sum.m_bytes / count / time / kilobyte,
        sum.m_max_bytes / time / kilobyte, sum.m_messages / count / time,
        sum.m_calls / time, fleet.watch_count(), 100 * sum.m_cpu / count / time,
        100 * sum.m_max_cpu / time,
        static_cast<double>(memory) / count / kilobyte,
        static_cast<double>(fleet.store().chunk_bytes()) / kilobyte,
        static_cast<double>(fleet.store().head().size()) / kilobyte, min_live);
    std::fflush(stdout);
}

} // namespace

void measure_costs(measurement_settings const& settings)
{
    std::printf("\n## Cost of one node\n\n"
                "| nodes | databases | KB/s mean | KB/s most | messages/s | "
                "store calls/s, all | watches, all | CPU %% mean | CPU %% most "
                "| memory KB | catalogue KB | head KB | least seen live |\n"
                "|---|---|---|---|---|---|---|---|---|---|---|---|---|\n");
    for (std::size_t const databases : settings.m_databases)
    {
        for (std::size_t const nodes : settings.m_nodes)
        {
            measure_cost(nodes, databases);
        }
    }
}
