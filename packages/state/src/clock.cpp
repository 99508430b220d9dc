#include <ctime>

#include <camphortide/state/clock.hpp>

namespace camphortide::state
{

time_point clock::now() noexcept
{
    // CLOCK_BOOTTIME goes on while the machine is suspended, so that a lease
    // lapses in that time; std::chrono::steady_clock stands still.
    timespec read{};
    ::clock_gettime(CLOCK_BOOTTIME, &read);
    auto const since_start = std::chrono::seconds(read.tv_sec) +
                             std::chrono::nanoseconds(read.tv_nsec);
    return time_point(std::chrono::duration_cast<duration>(since_start));
}

} // namespace camphortide::state
