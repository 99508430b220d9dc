#include "group_log.hpp"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace camphortide::benchmark
{

namespace
{

constexpr double ms_per_second = 1000;
constexpr double lag_amplitude = 0.5;
constexpr double lag_period_ms = 8000;

} // namespace

group_log::group_log(deployment const& parameters, lag_setting const& lag,
                     double seconds, std::mt19937_64& random)
    : m_mean_lag{0, lag.m_first_ms, lag.m_second_ms}
{
    std::exponential_distribution<double> gap(parameters.m_writes_per_second /
                                              ms_per_second);
    double const end = seconds * ms_per_second;
    for (double time = gap(random); time < end; time += gap(random))
    {
        m_write_times.push_back(time);
    }
}

std::uint64_t group_log::applied(std::size_t member, double ms) const
{
    auto const applied_until = ms - lag_at(member, ms);
    return static_cast<std::uint64_t>(
        std::ranges::upper_bound(m_write_times, applied_until) -
        m_write_times.begin());
}

double group_log::age(std::uint64_t index, double ms) const
{
    if (index >= m_write_times.size() || m_write_times[index] > ms)
    {
        return 0;
    }
    return ms - m_write_times[index];
}

double group_log::lag_at(std::size_t member, double ms) const
{
    auto const phase = static_cast<double>(member) * 2;
    auto const angle = 2 * std::numbers::pi * ms / lag_period_ms + phase;
    return m_mean_lag[member] * (1 + lag_amplitude * std::sin(angle));
}

} // namespace camphortide::benchmark
