#include "deployment.hpp"
#include "scheduler.hpp"
#include "simulation.hpp"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <numeric>
#include <string>
#include <vector>

namespace
{

constexpr double duration_ms = 120000;
constexpr std::uint64_t seed_count = 7;
constexpr double quiet_load = 0.6;
constexpr double flood_load = 3;
constexpr double ms_per_second = 1000;

/// Minimum, median and maximum over all seeds.
struct spread
{
    double m_min = 0;
    double m_median = 0;
    double m_max = 0;
};

spread spread_of(std::vector<double> values)
{
    std::sort(values.begin(), values.end());
    return {values.front(), values[values.size() / 2], values.back()};
}

double quantile(std::vector<double> values, double fraction)
{
    if (values.empty())
    {
        return 0;
    }
    auto const rank = static_cast<std::ptrdiff_t>(
        fraction * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + rank, values.end());
    return values[static_cast<std::size_t>(rank)];
}

double mean(std::vector<double> const& values)
{
    return std::accumulate(values.begin(), values.end(), 0.0) /
           static_cast<double>(std::max<std::size_t>(values.size(), 1));
}

std::vector<double> scaled_loads(deployment const& target, double load)
{
    std::vector<double> loads;
    loads.reserve(target.m_classes.size());
    for (auto const& each : target.m_classes)
    {
        loads.push_back(each.m_work_fraction * load);
    }
    return loads;
}

/// @return fraction of the slot capacity used by requests that met their
///     deadlines
double goodput(deployment const& target,
               std::vector<class_result> const& results)
{
    double useful = 0;
    for (auto const& each : results)
    {
        useful += each.m_useful_ms;
    }
    return useful / (duration_ms * target.m_slots);
}

std::size_t in_time(std::vector<class_result> const& results)
{
    std::size_t count = 0;
    for (auto const& each : results)
    {
        count += each.m_in_time;
    }
    return count;
}

std::vector<double> refusal_times(std::vector<class_result> const& results)
{
    std::vector<double> all;
    for (auto const& each : results)
    {
        all.insert(all.end(), each.m_refusal_ms.begin(),
                   each.m_refusal_ms.end());
    }
    return all;
}

void print_load(deployment const& target, policy const& tested_policy,
                double load, bool retries, double& peak)
{
    std::vector<double> useful;
    std::vector<double> rate;
    std::vector<double> refusals;
    std::size_t late = 0;
    for (std::uint64_t seed = 1; seed <= seed_count; ++seed)
    {
        auto const tested_scheduler = tested_policy.m_make_scheduler(target);
        auto const results =
            simulate(target, *tested_scheduler,
                     {scaled_loads(target, load), duration_ms, retries}, seed);
        useful.push_back(goodput(target, results));
        rate.push_back(static_cast<double>(in_time(results)) / duration_ms *
                       ms_per_second);
        auto const times = refusal_times(results);
        refusals.insert(refusals.end(), times.begin(), times.end());
        for (auto const& each : results)
        {
            late += each.m_late;
        }
    }
    auto const goodput_spread = spread_of(useful);
    auto const per_second = spread_of(rate);
    peak = std::max(peak, goodput_spread.m_median);
    std::printf(
        "%-21s %-18s %4.1fx%s  %.3f [%.3f %.3f]  %5.1f%%  %6.1f/s "
        "[%.1f %.1f]  %7zu  %5.1f%%  %6.1f\n",
        target.m_name.c_str(), tested_policy.m_name.c_str(), load,
        retries ? " retry" : "      ", goodput_spread.m_median,
        goodput_spread.m_min, goodput_spread.m_max,
        100 * goodput_spread.m_median / peak, per_second.m_median,
        per_second.m_min, per_second.m_max, late,
        100.0 *
            static_cast<double>(
                std::count(refusals.begin(), refusals.end(), 0.0)) /
            static_cast<double>(std::max<std::size_t>(refusals.size(), 1)),
        quantile(refusals, 0.99));
}

/// @return the deployment with its deadlines divided by five
deployment with_short_deadlines(deployment target)
{
    constexpr double deadline_factor = 0.2;
    target.m_name += ", short";
    for (auto& each : target.m_classes)
    {
        each.m_deadline_ms *= deadline_factor;
    }
    return target;
}

void print_goodput(deployment const& target)
{
    for (auto const& tested_policy : policies())
    {
        double peak = 0;
        for (double const load : {0.5, 1.0, 2.0, 3.0, 5.0})
        {
            print_load(target, tested_policy, load, false, peak);
        }
        print_load(target, tested_policy, 3, true, peak);
    }
}

void print_goodput()
{
    std::puts("Goodput: part of the slots busy with work that was in time "
              "(median [least most] of the seeds), against the policy's peak "
              "so far,\nrequests in time per second, requests served late "
              "(all seeds), refused on arrival of all refused, p99 of the "
              "time to a refusal in ms");
    for (auto const& target : deployments())
    {
        print_goodput(target);
        print_goodput(with_short_deadlines(target));
    }
}

/// Latencies of one class, one value per seed; counts are sums over all seeds.
struct latency_figures
{
    std::vector<double> m_mean;
    std::vector<double> m_p50;
    std::vector<double> m_p99;
    std::size_t m_offered = 0;
    std::size_t m_in_time = 0;
};

std::vector<latency_figures> measure(deployment const& target,
                                     policy const& tested_policy,
                                     std::vector<double> const& loads)
{
    std::vector<latency_figures> figures(target.m_classes.size());
    for (std::uint64_t seed = 1; seed <= seed_count; ++seed)
    {
        auto const tested_scheduler = tested_policy.m_make_scheduler(target);
        auto const results = simulate(target, *tested_scheduler,
                                      {loads, duration_ms, false}, seed);
        for (std::size_t i = 0; i < results.size(); ++i)
        {
            auto const& latency = results[i].m_latency_ms;
            figures[i].m_mean.push_back(mean(latency));
            figures[i].m_p50.push_back(quantile(latency, 0.5));
            figures[i].m_p99.push_back(quantile(latency, 0.99));
            figures[i].m_offered += results[i].m_offered;
            figures[i].m_in_time += results[i].m_in_time;
        }
    }
    return figures;
}

spread ratios(std::vector<double> const& above,
              std::vector<double> const& below)
{
    std::vector<double> values;
    values.reserve(above.size());
    for (std::size_t i = 0; i < above.size(); ++i)
    {
        values.push_back(above[i] / below[i]);
    }
    return spread_of(values);
}

void print_flood(deployment const& target, policy const& tested_policy,
                 std::size_t flooding,
                 std::vector<latency_figures> const& quiet)
{
    auto loads = scaled_loads(target, quiet_load);
    loads[flooding] = flood_load;
    auto const flood = measure(target, tested_policy, loads);
    for (std::size_t i = 0; i < target.m_classes.size(); ++i)
    {
        if (i == flooding)
        {
            continue;
        }
        auto const by_mean = ratios(flood[i].m_mean, quiet[i].m_mean);
        auto const by_p50 = ratios(flood[i].m_p50, quiet[i].m_p50);
        auto const by_p99 = ratios(flood[i].m_p99, quiet[i].m_p99);
        std::printf("%-15s %-18s %-13s %-13s %5.1f  %8.2f [%.2f %.2f]  %8.2f  "
                    "%8.2f [%.2f %.2f]  %5.1f%%\n",
                    target.m_name.c_str(), tested_policy.m_name.c_str(),
                    target.m_classes[flooding].m_name.c_str(),
                    target.m_classes[i].m_name.c_str(),
                    spread_of(quiet[i].m_mean).m_median, by_mean.m_median,
                    by_mean.m_min, by_mean.m_max, by_p50.m_median,
                    by_p99.m_median, by_p99.m_min, by_p99.m_max,
                    100.0 * static_cast<double>(flood[i].m_in_time) /
                        static_cast<double>(flood[i].m_offered));
    }
}

void print_floods()
{
    std::puts("\nFlood: one class offers 3 times the slots, the others what "
              "they offer at 0.6 of the slots.\nflooding class, other class, "
              "its quiet mean in ms, then its latency against quiet: mean "
              "[least most], p50, p99 [least most], and its part in time");
    for (auto const& target : deployments())
    {
        for (auto const& tested_policy : policies())
        {
            auto const quiet = measure(target, tested_policy,
                                       scaled_loads(target, quiet_load));
            for (std::size_t i = 0; i < target.m_classes.size(); ++i)
            {
                print_flood(target, tested_policy, i, quiet);
            }
        }
    }
}

/// Prints the CPU cost of admission with three arrivals per finished request.
void print_cost(std::size_t entries)
{
    deployment target;
    target.m_slots = 5;
    for (std::size_t i = 0; i < entries; ++i)
    {
        target.m_classes.push_back({"class" + std::to_string(i),
                                    "customer" + std::to_string(i / 4), 10, 0,
                                    500});
    }
    admission_scheduler tested(target);
    constexpr std::uint64_t rounds = 400000;
    constexpr std::uint64_t arrivals_per_finish = 3;
    std::vector<job> running;
    std::vector<job> jobs(rounds + 1);
    auto const start = std::chrono::steady_clock::now();
    for (std::uint64_t i = 1; i <= rounds; ++i)
    {
        double const now = static_cast<double>(i);
        jobs[i] = {i, (i * 7919) % entries, now, now + 500, 10, false};
        auto changes = tested.arrive(jobs[i], now);
        if (i % arrivals_per_finish == 0 && !running.empty())
        {
            auto const finished = running.back();
            running.pop_back();
            changes = tested.finish(finished, now);
        }
        for (auto const id : changes.m_started)
        {
            running.push_back(jobs[id]);
        }
    }
    std::chrono::duration<double, std::nano> const elapsed =
        std::chrono::steady_clock::now() - start;
    std::printf("%5zu entries: %.0f ns for an arrival and a third of a "
                "finish\n",
                entries, elapsed.count() / rounds);
}

} // namespace

int main()
{
    print_goodput();
    print_floods();
    std::puts("\nCost of admission");
    for (std::size_t const entries : {4U, 64U, 1024U})
    {
        print_cost(entries);
    }
    return 0;
}
