#include <chrono>
#include <thread>

#include <camphortide/load/demo/load_run.hpp>

namespace camphortide::load
{

namespace
{

constexpr std::chrono::milliseconds step{50};
constexpr run_time between_progress{1'000'000};
constexpr std::uint32_t most_attempts = 8;

} // namespace

run_result run_load(transport::deployment const& value,
                    load_options const& options,
                    progress_handler const& on_progress)
{
    // The way to the instances has its own latency.
    auto without_latency = value;
    without_latency.m_latency_to_clients = {};
    load_driver driver(
        without_latency, [&options] { return options.m_instances; },
        {options.m_duration, options.m_seed, options.m_run, most_attempts, {}});
    driver.start();
    auto report = between_progress;
    while (driver.now() < options.m_duration)
    {
        if (driver.now() >= report)
        {
            on_progress(driver.now(), driver.progress());
            report += between_progress;
        }
        std::this_thread::sleep_for(step);
    }
    run_facts facts;
    facts.m_history = driver.wait();
    facts.m_end = driver.now();
    run_result result;
    result.m_started = true;
    result.m_breaks = check_promises(facts);
    result.m_summary = summarise(facts, {}, options.m_warm_up);
    result.m_history = std::move(facts.m_history);
    return result;
}

} // namespace camphortide::load
