#pragma once

#include <chrono>
#include <cstdint>

namespace camphortide::state
{

/// The project's clock: monotonic, in whole milliseconds. Its time points are
/// only comparable within one process.
struct clock
{
    using rep = std::int64_t;
    using period = std::milli;
    using duration = std::chrono::duration<rep, period>;
    using time_point = std::chrono::time_point<clock>;
    static constexpr bool is_steady = true;

    /// Reads the clock.
    /// @return the time since an arbitrary start, in milliseconds
    static time_point now() noexcept;
};

using duration = clock::duration;
using time_point = clock::time_point;

} // namespace camphortide::state
