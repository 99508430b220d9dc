#pragma once

#include <compare>
#include <cstdint>
#include <vector>

#include <camphortide/load/checker/run_observations.hpp>

namespace camphortide::load
{

/// The memory that this process used at one time of a run.
struct memory_sample
{
    run_time m_at{0};
    std::uint64_t m_resident_bytes = 0;
    std::uint64_t m_attempts = 0; ///< finished by then

    friend auto operator<=>(memory_sample const&,
                            memory_sample const&) = default;
};

/// @return the resident memory in bytes; 0 if it can't be read
std::uint64_t resident_bytes();

/// The memory that a run retains until its end: the attempts, and the records
/// in the logs of the members. This part grows by design.
/// @param observed what was observed of the run
/// @param members number of members that hold a copy of each log
/// @return an estimate in bytes
std::uint64_t retained_bytes(run_observations const& observed,
                             std::uint64_t members);

} // namespace camphortide::load
