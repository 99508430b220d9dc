#pragma once

#include <chrono>
#include <cstdint>

namespace camphortide::state
{

/// Monotonic clock with a resolution of one millisecond. Time points may only
/// be compared within one process.
struct clock
{
    using rep = std::int64_t;
    using period = std::milli;
    using duration = std::chrono::duration<rep, period>;
    using time_point = std::chrono::time_point<clock>;
    static constexpr bool is_steady = true;

    /// @return the current time, relative to an unspecified epoch
    static time_point now() noexcept;
};

using duration = clock::duration;
using time_point = clock::time_point;

} // namespace camphortide::state
