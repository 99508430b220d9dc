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

/// Options of a demonstration.
struct demo_options
{
    run_time m_duration{20'000'000};
    run_time m_warm_up{1'000'000};
    std::uint64_t m_seed = 1;
    std::vector<std::string> m_faults; ///< names; applied together
    run_time m_fault_at{7'000'000};
    run_time m_fault_duration{6'000'000}; ///< until the fault is reverted
    run_time m_fault_interval{0};         ///< 0: once
    bool m_soak = false; ///< random pairs of faults instead of m_faults
    std::string m_baseline = "default"; ///< name of a baseline
};

/// Result of a demonstration or of a load run.
struct run_result
{
    bool m_started = false; ///< false: the deployment did not become ready
    run_summary m_summary;
    std::vector<guarantee_violation> m_violations;
    /// Groups without a primary after the run; their writes are not checked.
    std::vector<std::string> m_groups_without_primary;
    std::vector<memory_sample> m_memory; ///< of a demonstration only, by time
    std::uint64_t m_retained_bytes = 0;  ///< history and logs at the end
    history m_history;                   ///< every attempt
};

/// Called once a second with the progress of the run.
using progress_handler =
    std::function<void(run_time now, driver_progress const& progress)>;

/// Runs a whole deployment in this process with its traffic and the requested
/// faults, then checks every guarantee.
/// @param value the deployment
/// @param options what to run; the names of faults and baseline must exist
/// @param on_progress is called on the caller's thread
/// @return the summary and the violations
run_result run_demo(transport::deployment const& value,
                    demo_options const& options,
                    progress_handler const& on_progress);

} // namespace camphortide::load
