#include <algorithm>
#include <chrono>
#include <cmath>

#include <camphortide/coordination/limits/rate_bucket.hpp>

namespace camphortide::coordination
{

namespace
{

constexpr double ms_per_second = 1000;
constexpr state::duration max_wait = std::chrono::hours(1);

} // namespace

void rate_bucket::set_rate(std::optional<double> per_second,
                           state::time_point now)
{
    double const previous = m_started && m_rate ? tokens_at(now) : 0;
    bool const initial = !m_started || !m_rate;
    m_rate = per_second;
    m_refilled_at = now;
    m_tokens = std::min(initial ? 1.0 : previous, capacity());
    m_started = true;
}

bool rate_bucket::take_token(state::time_point now)
{
    if (!m_rate)
    {
        return true;
    }
    double const tokens = tokens_at(now);
    if (*m_rate <= 0 || tokens < 1)
    {
        return false;
    }
    m_tokens = tokens - 1;
    m_refilled_at = std::max(m_refilled_at, now);
    return true;
}

state::duration rate_bucket::time_until_token(state::time_point now) const
{
    if (!m_rate)
    {
        return state::duration{0};
    }
    double const missing = std::max(1 - tokens_at(now), 0.0);
    double const limit = static_cast<double>(max_wait.count());
    double const wait = *m_rate > 0 ? missing / *m_rate * ms_per_second : limit;
    return state::duration(
        static_cast<state::duration::rep>(std::ceil(std::min(wait, limit))));
}

double rate_bucket::capacity() const
{
    return m_rate ? std::max(*m_rate, 1.0) : 0;
}

double rate_bucket::tokens_at(state::time_point now) const
{
    auto const elapsed = std::max(now - m_refilled_at, state::duration{0});
    double const refilled =
        *m_rate * static_cast<double>(elapsed.count()) / ms_per_second;
    return std::min(m_tokens + refilled, capacity());
}

} // namespace camphortide::coordination
