#include <chrono>
#include <cmath>
#include <utility>

#include <camphortide/coordination/limits/limit_share.hpp>

namespace camphortide::coordination
{

namespace
{

constexpr double rate_units_per_request = 1000; ///< see share_kind
constexpr double demand_margin = 1.5;

std::int64_t rounded_up(double value)
{
    return static_cast<std::int64_t>(std::ceil(value));
}

} // namespace

limit_share::limit_share(entry_limits limits) : m_limits(std::move(limits)) {}

std::vector<share_limit> limit_share::limits_to_divide() const
{
    std::vector<share_limit> limits;
    if (m_limits.m_concurrency)
    {
        limits.push_back({concurrency_key(), *m_limits.m_concurrency});
    }
    if (m_limits.m_rate)
    {
        auto const units =
            std::floor(*m_limits.m_rate * rate_units_per_request);
        limits.push_back({rate_key(), static_cast<std::int64_t>(units)});
    }
    return limits;
}

void limit_share::observe(admission_load const& load, state::time_point now)
{
    m_running = load.m_running;
    m_in_system.add(load.m_running + load.m_queued);
    if (m_last_observed && now > *m_last_observed)
    {
        std::chrono::duration<double> const elapsed = now - *m_last_observed;
        m_rate.add(static_cast<double>(m_arrivals) / elapsed.count());
    }
    m_last_observed = now;
    m_arrivals = 0;
}

share_demand limit_share::rate_demand() const
{
    return {
        rounded_up(m_rate.value_or(0) * demand_margin * rate_units_per_request),
        0};
}

share_demand limit_share::concurrency_demand() const
{
    return {rounded_up(m_in_system.value_or(0) * demand_margin), m_running};
}

entry_limits limit_share::local_limits(share_allowance const& rate,
                                       share_allowance const& concurrency) const
{
    auto limits = m_limits;
    if (limits.m_rate)
    {
        limits.m_rate =
            static_cast<double>(rate.m_amount) / rate_units_per_request;
    }
    if (limits.m_concurrency)
    {
        limits.m_concurrency = static_cast<std::uint32_t>(concurrency.m_amount);
    }
    return limits;
}

share_key limit_share::rate_key() const
{
    return {share_kind::rate, m_limits.m_name};
}

share_key limit_share::concurrency_key() const
{
    return {share_kind::concurrency, m_limits.m_name};
}

} // namespace camphortide::coordination
