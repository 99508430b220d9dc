#include <algorithm>
#include <chrono>
#include <functional>
#include <random>
#include <thread>
#include <utility>

#include <camphortide/load/demo/baseline.hpp>
#include <camphortide/load/demo/demo_run.hpp>
#include <camphortide/load/demo/fleet_watch.hpp>
#include <camphortide/standin/deployment/running_deployment.hpp>

namespace camphortide::load
{

namespace
{

constexpr std::size_t token_key_digits = 64;
constexpr std::chrono::seconds most_until_ready{30};
constexpr std::chrono::milliseconds settling{1500};
constexpr std::chrono::milliseconds step{20};
constexpr run_time between_progress{1'000'000};
constexpr run_time between_pairs{10'000'000};
constexpr run_time first_pair{3'000'000};
constexpr run_time hold_of_pairs{5'000'000};

/// Something to do at a time of the run.
struct appointment
{
    run_time m_at{0};
    std::function<void()> m_run;
};

using timetable = std::vector<appointment>;

void add_faults(timetable& to, demo_options const& options,
                fault_injector& faults)
{
    if (options.m_faults.empty())
    {
        return;
    }
    for (auto at = options.m_fault_at; at < options.m_duration;
         at += options.m_fault_every)
    {
        for (auto const& name : options.m_faults)
        {
            auto const* const one = fault_injector::find(name);
            to.push_back({at, [&faults, one]
                          {
                              faults.apply(*one);
                          }});
        }
        to.push_back({at + options.m_fault_hold, [&faults]
                      {
                          faults.lift();
                      }});
        if (options.m_fault_every == run_time{0})
        {
            return;
        }
    }
}

/// Two different faults at a time, drawn from the seed.
void add_random_pairs(timetable& to, demo_options const& options,
                      fault_injector& faults)
{
    std::mt19937_64 random(options.m_seed);
    auto const all = fault_injector::faults();
    for (auto at = first_pair; at + hold_of_pairs < options.m_duration;
         at += between_pairs)
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
        to.push_back({at + hold_of_pairs, [&faults]
                      {
                          faults.lift();
                      }});
    }
}

/// Changes of the catalogue: one early, one while a fault is on.
void add_edits(timetable& to, demo_options const& options,
               fault_injector& faults)
{
    for (auto const at : {options.m_duration / 10,
                          options.m_fault_at + options.m_fault_hold / 2})
    {
        to.push_back({at, [&faults]
                      {
                          faults.edit_catalogue();
                      }});
    }
}

std::vector<memory_sample> keep(timetable appointments,
                                load_driver const& driver, run_time duration,
                                progress_handler const& on_progress)
{
    std::vector<memory_sample> memory;
    std::ranges::stable_sort(appointments, {}, &appointment::m_at);
    auto next = appointments.begin();
    auto report = between_progress;
    while (driver.now() < duration)
    {
        for (; next != appointments.end() && next->m_at <= driver.now(); ++next)
        {
            next->m_run();
        }
        if (driver.now() >= report)
        {
            auto const progress = driver.progress();
            on_progress(driver.now(), progress);
            memory.push_back({driver.now(), resident_bytes(),
                              progress.m_executed + progress.m_failed});
            report += between_progress;
        }
        std::this_thread::sleep_for(step);
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

std::uint64_t members_of_a_group(transport::deployment const& value)
{
    return value.m_groups.empty() ? 0 : value.m_groups.front().m_members.size();
}

void take_truths(standin::running_deployment& running, run_result& result,
                 run_facts& facts)
{
    for (auto const& group : running.description().m_groups)
    {
        auto& server = running.group(group.m_name);
        auto const primary = server.primary();
        if (primary.empty())
        {
            result.m_without_truth.push_back(group.m_name);
            continue;
        }
        facts.m_truths.emplace_back(group.m_name, server.log(primary));
    }
}

} // namespace

run_result run_demo(transport::deployment const& value,
                    demo_options const& options,
                    progress_handler const& on_progress)
{
    std::string const token_key(token_key_digits, 'd');
    auto const& how = *find_baseline(options.m_baseline);
    standin::running_deployment running(adapted(value, how), token_key,
                                        how.m_policy);
    run_result result;
    result.m_started = running.wait_ready(most_until_ready);
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
    timetable appointments;
    if (options.m_soak)
    {
        add_random_pairs(appointments, options, faults);
    }
    else
    {
        add_faults(appointments, options, faults);
        add_edits(appointments, options, faults);
    }
    driver.start();
    fleet_watch watch(running, now);
    result.m_memory =
        keep(std::move(appointments), driver, options.m_duration, on_progress);

    run_facts facts;
    faults.finish(facts);
    facts.m_history = driver.wait();
    running.wait_ready(most_until_ready);
    std::this_thread::sleep_for(settling);
    facts.m_end = driver.now();
    watch.finish(facts);
    take_truths(running, result, facts);
    result.m_breaks = check_promises(facts);
    result.m_summary = summarise(facts, faults.losses(), options.m_warm_up);
    result.m_kept_bytes = kept_bytes(facts, members_of_a_group(value));
    result.m_history = std::move(facts.m_history);
    return result;
}

} // namespace camphortide::load
