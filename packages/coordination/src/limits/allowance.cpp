#include <algorithm>

#include <camphortide/coordination/limits/allowance.hpp>

namespace camphortide::coordination
{

namespace
{

/// Seconds of a customer's rate that instances may admit on their own before
/// their keeper reserves for them.
constexpr double unheard_seconds = 1.0;

double seconds(state::duration value)
{
    return static_cast<double>(value.count()) / 1000.0;
}

} // namespace

double allowance_capacity(state::operation_limit const& limit,
                          state::allowance_rule const& settings)
{
    double const rate = limit.m_rate_per_second;
    double const regular = rate * seconds(settings.m_window) + limit.m_burst;
    double const extra =
        regular * settings.m_overshoot + limit.m_burst + settings.m_slack;
    double const committed =
        rate * (seconds(allowance_lease) + unheard_seconds);
    double const least = rate + limit.m_burst > 0 ? 1.0 : 0.0;
    return std::max(least, std::min(limit.m_burst, extra - committed));
}

} // namespace camphortide::coordination
