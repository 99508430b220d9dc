#pragma once

#include <compare>
#include <cstdint>
#include <vector>

#include <camphortide/load/checker/run_observations.hpp>

namespace camphortide::load
{

/// How much memory this process used at a time of a run.
struct memory_sample
{
    run_time m_at{0};
    std::uint64_t m_resident_bytes = 0; ///< bytes
    std::uint64_t m_attempts = 0;       ///< that callers had made by then

    friend auto operator<=>(memory_sample const&,
                            memory_sample const&) = default;
};

/// @return the bytes that are resident now; 0 if the system does not tell
std::uint64_t resident_bytes();

/// What a run keeps of itself until its end: the attempts, and the records
/// that the members' logs hold. This part of the memory grows by design.
/// @param observed of the run
/// @param members that hold each log
/// @return an estimate in bytes
std::uint64_t retained_bytes(run_observations const& observed,
                             std::uint64_t members);

} // namespace camphortide::load
