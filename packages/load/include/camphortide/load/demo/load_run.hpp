#pragma once

#include <string>
#include <vector>

#include <camphortide/load/demo/demo_run.hpp>

namespace camphortide::load
{

/// What a load against running instances does.
struct load_options
{
    std::vector<caller_address> m_instances; ///< at least one
    run_time m_duration{20'000'000};
    run_time m_warm_up{1'000'000};
    std::uint64_t m_seed = 1;
    std::string m_run = "1"; ///< makes rows and keys unique among runs
};

/// Plays a deployment's callers against instances that run already. There is
/// no log to hold the answers against, so only what the answers show by
/// themselves is checked.
/// @param value the deployment whose traffic is played
/// @param options where to and how long
/// @param on_progress is called on the caller's thread
/// @return the figures and the violations
run_result run_load(transport::deployment const& value,
                    load_options const& options,
                    progress_handler const& on_progress);

} // namespace camphortide::load
