#pragma once

#include <functional>
#include <string>
#include <vector>

#include <camphortide/load/checker/checker.hpp>
#include <camphortide/load/demo/fault_injector.hpp>
#include <camphortide/load/demo/memory_sample.hpp>
#include <camphortide/load/driver/load_driver.hpp>
#include <camphortide/load/report/run_summary.hpp>

namespace camphortide::load
{

/// What a demonstration does.
struct demo_options
{
    run_time m_duration{20'000'000};
    run_time m_warm_up{1'000'000};
    std::uint64_t m_seed = 1;
    std::vector<std::string> m_faults; ///< names; all at the same time
    run_time m_fault_at{7'000'000};
    run_time m_fault_duration{6'000'000}; ///< until the fault is lifted
    run_time m_fault_interval{0};         ///< 0: once
    bool m_soak = false; ///< random pairs of faults instead of the named
    std::string m_baseline = "default"; ///< a known name
};

/// What came of a demonstration or of a load.
struct run_result
{
    bool m_started = false; ///< false: the deployment was never ready
    run_summary m_summary;
    std::vector<guarantee_violation> m_violations;
    /// Groups without a primary after the run; their writes are not judged.
    std::vector<std::string> m_groups_without_primary;
    std::vector<memory_sample> m_memory; ///< of a demonstration, by time
    std::uint64_t m_retained_bytes = 0;  ///< by the run itself, at its end
    history m_history;                   ///< every attempt
};

/// Told once a second how the run goes.
using progress_handler =
    std::function<void(run_time now, driver_progress const& progress)>;

/// Runs a whole deployment in this process under its traffic and the faults
/// that were asked for, then checks every guarantee.
/// @param value the deployment
/// @param options what to do; the faults' names are known
/// @param on_progress is called on the caller's thread
/// @return the figures and the violations
run_result run_demo(transport::deployment const& value,
                    demo_options const& options,
                    progress_handler const& on_progress);

} // namespace camphortide::load
