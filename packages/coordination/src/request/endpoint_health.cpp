#include <algorithm>
#include <cmath>
#include <utility>

#include <camphortide/coordination/request/endpoint_health.hpp>

namespace camphortide::coordination
{

endpoint_health::endpoint_health(health_limits limits)
    : m_limits(limits),
      m_ejection_time(limits.m_ejection_time)
{
}

void endpoint_health::note_answer(answer_quality quality,
                                  state::duration latency,
                                  state::time_point now)
{
    double const failed = quality == answer_quality::failed ? 1.0 : 0.0;
    m_failures += m_limits.m_smoothing * (failed - m_failures);
    if (quality == answer_quality::good)
    {
        auto const value = static_cast<double>(latency.count());
        m_latency = m_latency == 0 ? value
                                   : m_latency + m_limits.m_smoothing *
                                                     (value - m_latency);
    }
    m_answers = std::min(m_answers + 1, m_limits.m_min_answers);
    if (m_ejected)
    {
        note_while_ejected(quality, now);
        return;
    }
    if (m_answers >= m_limits.m_min_answers &&
        m_failures > m_limits.m_eject_above)
    {
        eject(now);
    }
}

double endpoint_health::share(state::duration peer_latency) const
{
    if (m_ejected)
    {
        return 0;
    }
    return failure_factor() * latency_factor(peer_latency);
}

bool endpoint_health::probe_due(state::time_point now) const
{
    return m_ejected && now >= m_next_probe;
}

void endpoint_health::note_probe(state::time_point now)
{
    m_probing = true;
    m_next_probe = now + m_ejection_time;
}

state::duration endpoint_health::latency() const
{
    return state::duration(std::llround(m_latency));
}

void endpoint_health::eject(state::time_point now)
{
    m_ejected = true;
    m_probing = false;
    m_good_probes = 0;
    m_next_probe = now + m_ejection_time;
}

void endpoint_health::note_while_ejected(answer_quality quality,
                                         state::time_point now)
{
    if (!std::exchange(m_probing, false))
    {
        return;
    }
    if (quality == answer_quality::failed)
    {
        m_good_probes = 0;
        m_ejection_time =
            std::min(m_ejection_time * 2, m_limits.m_max_ejection_time);
        m_next_probe = now + m_ejection_time;
        return;
    }
    ++m_good_probes;
    m_next_probe = now;
    if (m_good_probes < m_limits.m_probes_to_restore)
    {
        return;
    }
    m_ejected = false;
    m_ejection_time = m_limits.m_ejection_time;
    m_answers = 0;
    m_failures = std::min(m_failures, m_limits.m_eject_above);
}

/// Decreases linearly from 1 at m_reduce_above to 0.1 at m_eject_above.
double endpoint_health::failure_factor() const
{
    constexpr double min_factor = 0.1;
    auto const range = m_limits.m_eject_above - m_limits.m_reduce_above;
    auto const excess = std::max(0.0, m_failures - m_limits.m_reduce_above);
    return std::max(min_factor, 1.0 - (1.0 - min_factor) * excess / range);
}

/// The ratio of the allowed latency to the mean latency, limited to 0.1 to 1.
double endpoint_health::latency_factor(state::duration peer_latency) const
{
    constexpr double min_factor = 0.1;
    auto const peer = static_cast<double>(peer_latency.count());
    auto const floor = static_cast<double>(m_limits.m_min_slow_latency.count());
    if (peer <= 0 || m_latency <= floor)
    {
        return 1.0;
    }
    auto const allowed = std::max(floor, peer * m_limits.m_slow_factor);
    return std::clamp(allowed / m_latency, min_factor, 1.0);
}

} // namespace camphortide::coordination
