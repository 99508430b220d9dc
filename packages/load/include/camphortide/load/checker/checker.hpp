#pragma once

#include <cstdint>
#include <vector>

#include <camphortide/load/checker/guarantee_violation.hpp>
#include <camphortide/load/checker/run_observations.hpp>

namespace camphortide::load
{

/// Finds every guarantee that a run broke. The groups' own logs are the truth;
/// what callers were told is held against them.
/// @param observed of the run
/// @return the violations, guarantee by guarantee; empty if all were kept
std::vector<guarantee_violation>
check_guarantees(run_observations const& observed);

/// @return how many of the violations are of a guarantee
std::uint64_t
count_violations(std::vector<guarantee_violation> const& violations,
                 guarantee of);

} // namespace camphortide::load
