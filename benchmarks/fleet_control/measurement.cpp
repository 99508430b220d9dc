#include "measurement.hpp"

#include <algorithm>
#include <cstdio>

namespace state = camphortide::state;
using state::duration;

double seconds(duration value)
{
    return static_cast<double>(value.count()) / 1000;
}

void print_spread(char const* name, std::vector<duration> values)
{
    std::ranges::sort(values);
    std::printf("| %s | %.2f | %.2f | %.2f |\n", name, seconds(values.front()),
                seconds(values[values.size() / 2]), seconds(values.back()));
    std::fflush(stdout);
}

bool is_selected(measurement_settings const& settings, std::string const& name)
{
    return name.find(settings.m_case_filter) != std::string::npos;
}

totals sum_counts(simulated_fleet const& fleet)
{
    totals result;
    for (auto const& [index, node] : fleet.nodes())
    {
        auto const& counts = node->counts();
        auto const bytes =
            static_cast<double>(counts.m_bytes_sent + counts.m_bytes_received +
                                counts.m_store_bytes);
        result.m_bytes += bytes;
        result.m_max_bytes = std::max(result.m_max_bytes, bytes);
        result.m_messages += static_cast<double>(counts.m_messages_sent);
        result.m_calls += static_cast<double>(counts.m_store_calls);
        result.m_store_bytes += static_cast<double>(counts.m_store_bytes);
        result.m_cpu += counts.m_cpu_seconds;
        result.m_max_cpu = std::max(result.m_max_cpu, counts.m_cpu_seconds);
    }
    return result;
}
