#pragma once

#include <string>
#include <vector>

#include <camphortide/load/demo/demo_run.hpp>

namespace camphortide::load
{

/// Options of a load run against running instances.
struct load_options
{
    std::vector<caller_address> m_instances; ///< at least one
    run_time m_duration{20'000'000};
    run_time m_warm_up{1'000'000};
    std::uint64_t m_seed = 1;
    std::string m_run = "1"; ///< makes rows and keys unique across runs
};

/// Sends a deployment's traffic to instances that run already. The logs of the
/// groups are not available, so only the answers themselves are checked.
/// @param value the deployment whose traffic is sent
/// @param options the addresses and the duration
/// @param on_progress is called on the caller's thread
/// @return the summary and the violations
run_result run_load(transport::deployment const& value,
                    load_options const& options,
                    progress_handler const& on_progress);

} // namespace camphortide::load
