// Compares the strategies of read routing: how many reads replicas serve, how
// many the promises allow, and the latency. Takes no arguments.
#include "simulation.hpp"

#include <algorithm>
#include <cstdio>

using namespace camphortide::benchmark;

namespace
{

constexpr std::uint64_t seed = 20261203;

double percent(std::size_t part, std::size_t whole)
{
    return whole == 0
               ? 0.0
               : 100.0 * static_cast<double>(part) / static_cast<double>(whole);
}

double quantile(std::vector<double>& sorted, double part)
{
    if (sorted.empty())
    {
        return 0;
    }
    auto const last = static_cast<double>(sorted.size() - 1);
    return sorted[static_cast<std::size_t>(last * part)];
}

void print(char const* strategy, lag_setting const& lag,
           routing_figures figures)
{
    auto& latency = figures.m_latency_ms;
    std::ranges::sort(latency);
    std::printf(
        "%-17s %-14s %7zu %8.1f %8.1f %8.1f %8.2f %8.2f %8.1f %8zu %8zu\n",
        strategy, lag.m_name.c_str(), figures.m_reads,
        percent(figures.m_from_replica, figures.m_reads),
        percent(figures.m_allowed, figures.m_reads),
        percent(figures.m_from_replica, figures.m_allowed),
        quantile(latency, 0.5), quantile(latency, 0.99),
        percent(figures.m_retries, figures.m_reads), figures.m_refused,
        figures.m_too_old);
}

} // namespace

int main()
{
    for (auto const& sizes :
         {toy_library(), dealers(), at_peak(toy_library()), at_peak(dealers())})
    {
        std::printf("\n%s: %.0f reads/s, %.0f writes/s, %zu slots\n",
                    sizes.m_name.c_str(), sizes.m_reads_per_second,
                    sizes.m_writes_per_second, sizes.m_slots);
        std::printf("%-17s %-14s %7s %8s %8s %8s %8s %8s %8s %8s %8s\n",
                    "strategy", "mean lag", "reads", "replica%", "allowed%",
                    "of it%", "p50 ms", "p99 ms", "retry%", "refused",
                    "too old");
        for (auto const* const strategy : {"primary_only", "random_replica",
                                           "covering_replica", "least_time"})
        {
            for (auto const& lag : lag_settings())
            {
                simulation trial(sizes, lag, strategy, seed);
                print(strategy, lag, trial.run());
            }
        }
    }
}
