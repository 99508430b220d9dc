#pragma once

#include <cstdint>
#include <vector>

#include <camphortide/load/checker/guarantee_violation.hpp>
#include <camphortide/load/checker/run_observations.hpp>

namespace camphortide::load
{

/// Finds every violation of a guarantee in a run. Compares the outcomes that
/// callers received with the logs of the groups, which are authoritative.
/// @param observed what was observed of the run
/// @return the violations, in the order of the checks; empty if all
///     guarantees held
std::vector<guarantee_violation>
check_guarantees(run_observations const& observed);

/// @return the number of violations of one guarantee
std::uint64_t
count_violations(std::vector<guarantee_violation> const& violations,
                 guarantee of);

} // namespace camphortide::load
