#include <algorithm>
#include <chrono>
#include <functional>
#include <random>
#include <thread>
#include <utility>

#include <camphortide/load/demo/baseline.hpp>
#include <camphortide/load/demo/demo_run.hpp>
#include <camphortide/load/demo/fleet_observer.hpp>
#include <camphortide/standin/deployment/running_deployment.hpp>

namespace camphortide::load
{

namespace
{

constexpr std::size_t token_key_digits = 64;
constexpr std::chrono::seconds ready_timeout{30};
constexpr std::chrono::milliseconds settling_time{1500};
constexpr std::chrono::milliseconds poll_interval{20};
constexpr run_time progress_interval{1'000'000};
constexpr run_time pair_interval{10'000'000};
constexpr run_time first_pair_at{3'000'000};
constexpr run_time pair_duration{5'000'000};

/// An action that is due at a time of the run.
struct scheduled_action
{
    run_time m_at{0};
    std::function<void()> m_run;
};

using schedule = std::vector<scheduled_action>;

void add_faults(schedule& to, demo_options const& options,
                fault_injector& faults)
{
    if (options.m_faults.empty())
    {
        return;
    }
    for (auto at = options.m_fault_at; at < options.m_duration;
         at += options.m_fault_interval)
    {
        for (auto const& name : options.m_faults)
        {
            auto const* const one = fault_injector::find(name);
            to.push_back({at, [&faults, one]
                          {
                              faults.apply(*one);
                          }});
        }
        to.push_back({at + options.m_fault_duration, [&faults]
                      {
                          faults.revert();
                      }});
        if (options.m_fault_interval == run_time{0})
        {
            return;
        }
    }
}

/// Schedules pairs of different faults, chosen at random from the seed.
void add_random_pairs(schedule& to, demo_options const& options,
                      fault_injector& faults)
{
    std::mt19937_64 random(options.m_seed);
    auto const all = fault_injector::faults();
    for (auto at = first_pair_at; at + pair_duration < options.m_duration;
         at += pair_interval)
    {
        auto const first = random() % all.size();
        auto const apart = 1 + random() % (all.size() - 1);
        auto const second = (first + apart) % all.size();
        to.push_back({at, [&faults, one = &all[first], other = &all[second]]
                      {
                          faults.apply(*one);
                          faults.apply(*other);
                          faults.edit_catalogue();
                      }});
        to.push_back({at + pair_duration, [&faults]
                      {
                          faults.revert();
                      }});
    }
}

/// Schedules two changes of the catalogue: one early, one during a fault.
void add_edits(schedule& to, demo_options const& options,
               fault_injector& faults)
{
    for (auto const at : {options.m_duration / 10,
                          options.m_fault_at + options.m_fault_duration / 2})
    {
        to.push_back({at, [&faults]
                      {
                          faults.edit_catalogue();
                      }});
    }
}

std::vector<memory_sample> run_schedule(schedule actions,
                                        load_driver const& driver,
                                        run_time duration,
                                        progress_handler const& on_progress)
{
    std::vector<memory_sample> memory;
    std::ranges::stable_sort(actions, {}, &scheduled_action::m_at);
    auto next = actions.begin();
    auto report = progress_interval;
    while (driver.now() < duration)
    {
        for (; next != actions.end() && next->m_at <= driver.now(); ++next)
        {
            next->m_run();
        }
        if (driver.now() >= report)
        {
            auto const progress = driver.progress();
            on_progress(driver.now(), progress);
            memory.push_back({driver.now(), resident_bytes(),
                              progress.m_executed + progress.m_failed});
            report += progress_interval;
        }
        std::this_thread::sleep_for(poll_interval);
    }
    return memory;
}

std::vector<caller_address>
addresses_of(standin::running_deployment const& running)
{
    std::vector<caller_address> result;
    for (auto const& name : running.running())
    {
        auto address = running.caller_address(name);
        if (!address.empty())
        {
            result.push_back({name, std::move(address)});
        }
    }
    return result;
}

std::uint64_t members_per_group(transport::deployment const& value)
{
    return value.m_groups.empty() ? 0 : value.m_groups.front().m_members.size();
}

void collect_group_logs(standin::running_deployment& running,
                        run_result& result, run_observations& observed)
{
    for (auto const& group : running.description().m_groups)
    {
        auto& server = running.group(group.m_name);
        auto const primary = server.primary();
        if (primary.empty())
        {
            result.m_groups_without_primary.push_back(group.m_name);
            continue;
        }
        observed.m_group_logs.emplace_back(group.m_name, server.log(primary));
    }
}

} // namespace

run_result run_demo(transport::deployment const& value,
                    demo_options const& options,
                    progress_handler const& on_progress)
{
    std::string const token_key(token_key_digits, 'd');
    auto const& chosen = *find_baseline(options.m_baseline);
    standin::running_deployment running(with_baseline(value, chosen), token_key,
                                        chosen.m_policy);
    run_result result;
    result.m_started = running.wait_ready(ready_timeout);
    if (!result.m_started)
    {
        return result;
    }
    load_driver driver(value, [&running] { return addresses_of(running); },
                       {options.m_duration, options.m_seed,
                        std::to_string(options.m_seed), 8, token_key});
    auto const now = [&driver]
    {
        return driver.now();
    };
    fault_injector faults(running, now, options.m_seed);
    schedule actions;
    if (options.m_soak)
    {
        add_random_pairs(actions, options, faults);
    }
    else
    {
        add_faults(actions, options, faults);
        add_edits(actions, options, faults);
    }
    driver.start();
    fleet_observer observer(running, now);
    result.m_memory = run_schedule(std::move(actions), driver,
                                   options.m_duration, on_progress);

    run_observations observed;
    faults.finish(observed);
    observed.m_history = driver.wait();
    running.wait_ready(ready_timeout);
    std::this_thread::sleep_for(settling_time);
    observed.m_end = driver.now();
    observer.finish(observed);
    collect_group_logs(running, result, observed);
    result.m_violations = check_guarantees(observed);
    result.m_summary = summarise(observed, faults.losses(), options.m_warm_up);
    result.m_retained_bytes =
        retained_bytes(observed, members_per_group(value));
    result.m_history = std::move(observed.m_history);
    return result;
}

} // namespace camphortide::load
