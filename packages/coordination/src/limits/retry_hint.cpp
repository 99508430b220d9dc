#include <algorithm>
#include <cmath>

#include <camphortide/coordination/limits/retry_hint.hpp>

namespace camphortide::coordination
{

namespace
{

constexpr work min_wait{10};
constexpr work max_wait{4000};

} // namespace

state::duration retry_hint(work wait, std::uint64_t id)
{
    constexpr std::uint64_t multiplier = 0x9E3779B97F4A7C15; // 2^64 / phi
    constexpr unsigned shift = 54;
    constexpr double steps = 2048;
    double const fraction =
        static_cast<double>((id * multiplier) >> shift) / steps;
    auto const spread = std::clamp(wait, min_wait, max_wait) * (1 + fraction);
    return state::duration(
        static_cast<state::duration::rep>(std::ceil(spread.count())));
}

} // namespace camphortide::coordination
