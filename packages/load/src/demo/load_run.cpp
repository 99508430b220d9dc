#include <chrono>
#include <thread>

#include <camphortide/load/demo/load_run.hpp>

namespace camphortide::load
{

namespace
{

constexpr std::chrono::milliseconds poll_interval{50};
constexpr run_time progress_interval{1'000'000};
constexpr std::uint32_t max_attempts = 8;

} // namespace

run_result run_load(transport::deployment const& value,
                    load_options const& options,
                    progress_handler const& on_progress)
{
    // The network to the instances adds its own latency.
    auto without_latency = value;
    without_latency.m_latency_to_clients = {};
    load_driver driver(
        without_latency, [&options] { return options.m_instances; },
        {options.m_duration, options.m_seed, options.m_run, max_attempts, {}});
    driver.start();
    auto report = progress_interval;
    while (driver.now() < options.m_duration)
    {
        if (driver.now() >= report)
        {
            on_progress(driver.now(), driver.progress());
            report += progress_interval;
        }
        std::this_thread::sleep_for(poll_interval);
    }
    run_observations observed;
    observed.m_history = driver.wait();
    observed.m_end = driver.now();
    run_result result;
    result.m_started = true;
    result.m_violations = check_guarantees(observed);
    result.m_summary = summarise(observed, {}, options.m_warm_up);
    result.m_history = std::move(observed.m_history);
    return result;
}

} // namespace camphortide::load
