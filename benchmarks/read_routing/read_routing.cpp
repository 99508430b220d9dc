// Compares read routing strategies: the share of reads served by replicas, the
// share that the guarantees allow, and the latency. Takes no arguments.
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

double quantile(std::vector<double>& sorted, double fraction)
{
    if (sorted.empty())
    {
        return 0;
    }
    auto const last = static_cast<double>(sorted.size() - 1);
    return sorted[static_cast<std::size_t>(last * fraction)];
}

void print(char const* strategy, lag_setting const& lag,
           routing_results results)
{
    auto& latency = results.m_latency_ms;
    std::ranges::sort(latency);
    std::printf(
        "%-17s %-14s %7zu %8.1f %8.1f %8.1f %8.2f %8.2f %8.1f %8zu %8zu\n",
        strategy, lag.m_name.c_str(), results.m_reads,
        percent(results.m_from_replica, results.m_reads),
        percent(results.m_replica_eligible, results.m_reads),
        percent(results.m_from_replica, results.m_replica_eligible),
        quantile(latency, 0.5), quantile(latency, 0.99),
        percent(results.m_retries, results.m_reads), results.m_refused,
        results.m_too_old);
}

} // namespace

int main()
{
    for (auto const& parameters :
         {toy_library(), dealers(), at_peak(toy_library()), at_peak(dealers())})
    {
        std::printf("\n%s: %.0f reads/s, %.0f writes/s, %zu slots\n",
                    parameters.m_name.c_str(), parameters.m_reads_per_second,
                    parameters.m_writes_per_second, parameters.m_slots);
        std::printf("%-17s %-14s %7s %8s %8s %8s %8s %8s %8s %8s %8s\n",
                    "strategy", "mean lag", "reads", "replica%", "allowed%",
                    "of it%", "p50 ms", "p99 ms", "retry%", "refused",
                    "too old");
        for (auto const* const strategy : {"primary_only", "random_replica",
                                           "covering_replica", "least_time"})
        {
            for (auto const& lag : lag_settings())
            {
                simulation trial(parameters, lag, strategy, seed);
                print(strategy, lag, trial.run());
            }
        }
    }
}
