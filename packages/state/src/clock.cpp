#include <camphortide/state/clock.hpp>

namespace camphortide::state
{

time_point clock::now() noexcept
{
    auto const since_start =
        std::chrono::steady_clock::now().time_since_epoch();
    return time_point(std::chrono::duration_cast<duration>(since_start));
}

} // namespace camphortide::state
