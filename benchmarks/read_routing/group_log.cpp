#include "group_log.hpp"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace camphortide::benchmark
{

namespace
{

constexpr double ms_per_second = 1000;
constexpr double swing = 0.5;
constexpr double swing_period_ms = 8000;

} // namespace

group_log::group_log(deployment const& sizes, lag_setting const& lag,
                     double seconds, std::mt19937_64& random)
    : m_mean_lag{0, lag.m_first_ms, lag.m_second_ms}
{
    std::exponential_distribution<double> gap(sizes.m_writes_per_second /
                                              ms_per_second);
    double const end = seconds * ms_per_second;
    for (double time = gap(random); time < end; time += gap(random))
    {
        m_written.push_back(time);
    }
}

std::uint64_t group_log::applied(std::size_t member, double ms) const
{
    auto const upto = ms - lag_at(member, ms);
    return static_cast<std::uint64_t>(
        std::ranges::upper_bound(m_written, upto) - m_written.begin());
}

double group_log::age(std::uint64_t index, double ms) const
{
    if (index >= m_written.size() || m_written[index] > ms)
    {
        return 0;
    }
    return ms - m_written[index];
}

double group_log::lag_at(std::size_t member, double ms) const
{
    auto const phase = static_cast<double>(member) * 2;
    auto const angle = 2 * std::numbers::pi * ms / swing_period_ms + phase;
    return m_mean_lag[member] * (1 + swing * std::sin(angle));
}

} // namespace camphortide::benchmark
