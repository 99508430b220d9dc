#include <algorithm>
#include <cmath>

#include <camphortide/coordination/placing/replica_lag.hpp>

namespace camphortide::coordination
{

namespace
{

/// Minimum weight of a new lag that is shorter than the recorded one.
constexpr double min_weight = 0.2;
/// A recorded lag loses half of its weight against a shorter one in this time:
/// two or three of the requests for a position replace it.
constexpr double weight_half_life_ms = 100;
/// After a refusal because of lag, the recorded lag grows by this factor, up to
/// twice the lag that the refusal showed.
constexpr double refusal_growth = 1.5;
/// A replica with at least this lag receives few reads.
constexpr state::duration high_lag{150};
/// Interval between requests for the position of such a replica.
constexpr state::duration request_interval{250};
/// How long an answer to such a request is awaited.
constexpr state::duration request_timeout{1000};
/// How long a high estimate holds without confirmation: longer than the
/// interval between requests, including that between the checks.
constexpr state::duration confirmation_timeout{500};
/// Half-life of an estimate that isn't confirmed in time: a lag of 6 s falls
/// below the usual 150 ms in under 2 s.
constexpr double unconfirmed_half_life_ms = 250;

state::duration scaled(state::duration value, double factor)
{
    return state::duration(static_cast<state::duration::rep>(
        static_cast<double>(value.count()) * factor));
}

} // namespace

void replica_lag::record_refusal(state::duration behind, state::time_point now)
{
    auto const current = value(now);
    m_last_update = now;
    m_lag = std::max({current, behind,
                      std::min(scaled(current, refusal_growth), behind * 2)});
}

void replica_lag::record_applied(state::log_position position,
                                 state::duration behind, state::time_point now)
{
    auto const age = static_cast<double>((now - m_last_update).count());
    auto const weight =
        behind > m_lag
            ? 1.0
            : std::max(min_weight, 1 - std::exp2(-age / weight_half_life_ms));
    m_last_update = now;
    m_requested.reset();
    if (!m_applied || position > *m_applied)
    {
        m_applied = position;
    }
    m_lag += scaled(behind - m_lag, weight);
}

bool replica_lag::needs_request(state::time_point now) const
{
    bool const outstanding =
        m_requested && now - *m_requested < request_timeout;
    return !outstanding && m_lag >= high_lag &&
           now - m_last_update >= request_interval;
}

bool replica_lag::unconfirmed(state::time_point now) const
{
    return m_lag >= high_lag && now - m_last_update > confirmation_timeout;
}

state::duration replica_lag::value(state::time_point now) const
{
    if (!unconfirmed(now))
    {
        return m_lag;
    }
    auto const overdue = now - m_last_update - confirmation_timeout;
    return scaled(m_lag, std::exp2(-static_cast<double>(overdue.count()) /
                                   unconfirmed_half_life_ms));
}

} // namespace camphortide::coordination
