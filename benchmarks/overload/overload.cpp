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

constexpr double length_ms = 120000;
constexpr std::uint64_t seed_count = 7;
constexpr double quiet_load = 0.6;
constexpr double flood_load = 3;
constexpr double ms_per_second = 1000;

/// The least, the median and the greatest of the seeds' figures.
struct spread
{
    double m_least = 0;
    double m_median = 0;
    double m_most = 0;
};

spread spread_of(std::vector<double> values)
{
    std::sort(values.begin(), values.end());
    return {values.front(), values[values.size() / 2], values.back()};
}

double quantile(std::vector<double> values, double part)
{
    if (values.empty())
    {
        return 0;
    }
    auto const rank = static_cast<std::ptrdiff_t>(
        part * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + rank, values.end());
    return values[static_cast<std::size_t>(rank)];
}

double mean(std::vector<double> const& values)
{
    return std::accumulate(values.begin(), values.end(), 0.0) /
           static_cast<double>(std::max<std::size_t>(values.size(), 1));
}

std::vector<double> scaled_parts(deployment const& on, double load)
{
    std::vector<double> parts;
    parts.reserve(on.m_classes.size());
    for (auto const& each : on.m_classes)
    {
        parts.push_back(each.m_part * load);
    }
    return parts;
}

/// The part of the slots that did work which was in time.
double goodput(deployment const& on, std::vector<class_result> const& results)
{
    double useful = 0;
    for (auto const& each : results)
    {
        useful += each.m_useful_ms;
    }
    return useful / (length_ms * on.m_slots);
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

void print_load(deployment const& on, policy const& by, double load,
                bool retries, double& peak)
{
    std::vector<double> useful;
    std::vector<double> rate;
    std::vector<double> refusals;
    std::size_t late = 0;
    for (std::uint64_t seed = 1; seed <= seed_count; ++seed)
    {
        auto const made = by.m_make(on);
        auto const results = simulate(
            on, *made, {scaled_parts(on, load), length_ms, retries}, seed);
        useful.push_back(goodput(on, results));
        rate.push_back(static_cast<double>(in_time(results)) / length_ms *
                       ms_per_second);
        auto const times = refusal_times(results);
        refusals.insert(refusals.end(), times.begin(), times.end());
        for (auto const& each : results)
        {
            late += each.m_late;
        }
    }
    auto const part = spread_of(useful);
    auto const per_second = spread_of(rate);
    peak = std::max(peak, part.m_median);
    std::printf(
        "%-21s %-18s %4.1fx%s  %.3f [%.3f %.3f]  %5.1f%%  %6.1f/s "
        "[%.1f %.1f]  %7zu  %5.1f%%  %6.1f\n",
        on.m_name.c_str(), by.m_name.c_str(), load,
        retries ? " retry" : "      ", part.m_median, part.m_least, part.m_most,
        100 * part.m_median / peak, per_second.m_median, per_second.m_least,
        per_second.m_most, late,
        100.0 *
            static_cast<double>(
                std::count(refusals.begin(), refusals.end(), 0.0)) /
            static_cast<double>(std::max<std::size_t>(refusals.size(), 1)),
        quantile(refusals, 0.99));
}

/// The same deployment with deadlines of a fifth.
deployment with_short_deadlines(deployment on)
{
    constexpr double part = 0.2;
    on.m_name += ", short";
    for (auto& each : on.m_classes)
    {
        each.m_deadline_ms *= part;
    }
    return on;
}

void print_goodput(deployment const& on)
{
    for (auto const& by : policies())
    {
        double peak = 0;
        for (double const load : {0.5, 1.0, 2.0, 3.0, 5.0})
        {
            print_load(on, by, load, false, peak);
        }
        print_load(on, by, 3, true, peak);
    }
}

void print_goodput()
{
    std::puts("Goodput: part of the slots busy with work that was in time "
              "(median [least most] of the seeds), against the policy's peak "
              "so far,\nrequests in time per second, requests served late "
              "(all seeds), refused on arrival of all refused, p99 of the "
              "time to a refusal in ms");
    for (auto const& on : deployments())
    {
        print_goodput(on);
        print_goodput(with_short_deadlines(on));
    }
}

/// The latencies of one class in all seeds.
struct latency_figures
{
    std::vector<double> m_mean;
    std::vector<double> m_p50;
    std::vector<double> m_p99;
    std::size_t m_offered = 0;
    std::size_t m_in_time = 0;
};

std::vector<latency_figures> measure(deployment const& on, policy const& by,
                                     std::vector<double> const& parts)
{
    std::vector<latency_figures> figures(on.m_classes.size());
    for (std::uint64_t seed = 1; seed <= seed_count; ++seed)
    {
        auto const made = by.m_make(on);
        auto const results =
            simulate(on, *made, {parts, length_ms, false}, seed);
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
    std::vector<double> made;
    made.reserve(above.size());
    for (std::size_t i = 0; i < above.size(); ++i)
    {
        made.push_back(above[i] / below[i]);
    }
    return spread_of(made);
}

void print_flood_of(deployment const& on, policy const& by,
                    std::size_t flooding,
                    std::vector<latency_figures> const& quiet)
{
    auto parts = scaled_parts(on, quiet_load);
    parts[flooding] = flood_load;
    auto const flood = measure(on, by, parts);
    for (std::size_t i = 0; i < on.m_classes.size(); ++i)
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
                    on.m_name.c_str(), by.m_name.c_str(),
                    on.m_classes[flooding].m_name.c_str(),
                    on.m_classes[i].m_name.c_str(),
                    spread_of(quiet[i].m_mean).m_median, by_mean.m_median,
                    by_mean.m_least, by_mean.m_most, by_p50.m_median,
                    by_p99.m_median, by_p99.m_least, by_p99.m_most,
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
    for (auto const& on : deployments())
    {
        for (auto const& by : policies())
        {
            auto const quiet = measure(on, by, scaled_parts(on, quiet_load));
            for (std::size_t i = 0; i < on.m_classes.size(); ++i)
            {
                print_flood_of(on, by, i, quiet);
            }
        }
    }
}

/// Prints the time of one arrival with its finish, at three times the load.
void print_cost(std::size_t entries)
{
    deployment on;
    on.m_slots = 5;
    for (std::size_t i = 0; i < entries; ++i)
    {
        on.m_classes.push_back({"class" + std::to_string(i),
                                "owner" + std::to_string(i / 4), 10, 0, 500});
    }
    admission_scheduler scheduled(on);
    constexpr std::uint64_t rounds = 400000;
    constexpr std::uint64_t arrivals_per_finish = 3;
    std::vector<job> running;
    std::vector<job> jobs(rounds + 1);
    auto const start = std::chrono::steady_clock::now();
    for (std::uint64_t i = 1; i <= rounds; ++i)
    {
        double const now = static_cast<double>(i);
        jobs[i] = {i, (i * 7919) % entries, now, now + 500, 10, false};
        auto changes = scheduled.arrive(jobs[i], now);
        if (i % arrivals_per_finish == 0 && !running.empty())
        {
            auto const done = running.back();
            running.pop_back();
            changes = scheduled.finish(done, now);
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
