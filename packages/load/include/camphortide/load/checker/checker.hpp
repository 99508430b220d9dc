#pragma once

#include <cstdint>
#include <vector>

#include <camphortide/load/checker/promise_break.hpp>
#include <camphortide/load/checker/run_facts.hpp>

namespace camphortide::load
{

/// Finds every promise that a run broke. The groups' own logs are the truth;
/// what callers were told is held against them.
/// @param facts of the run
/// @return the breaks, promise by promise; empty if all were kept
std::vector<promise_break> check_promises(run_facts const& facts);

/// @return how many of the breaks are of a promise
std::uint64_t count_breaks(std::vector<promise_break> const& breaks,
                           promise of);

} // namespace camphortide::load
