#include <ctime>

#include <camphortide/state/clock.hpp>

namespace camphortide::state
{

time_point clock::now() noexcept
{
    // CLOCK_BOOTTIME includes the time that the machine is suspended, so that
    // leases expire during a suspend. std::chrono::steady_clock does not.
    timespec boot_time{};
    ::clock_gettime(CLOCK_BOOTTIME, &boot_time);
    auto const since_boot = std::chrono::seconds(boot_time.tv_sec) +
                            std::chrono::nanoseconds(boot_time.tv_nsec);
    return time_point(std::chrono::duration_cast<duration>(since_boot));
}

} // namespace camphortide::state
