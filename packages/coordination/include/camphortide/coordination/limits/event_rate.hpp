#pragma once

#include <cmath>

#include <camphortide/state/clock.hpp>

namespace camphortide::coordination
{

/// The rate of recent events. An event's weight decreases exponentially with
/// its age.
class event_rate
{
public:
    /// @param averaging_time the time constant of the weights
    explicit event_rate(state::duration averaging_time)
        : m_averaging_ms(static_cast<double>(averaging_time.count()))
    {
    }

    void add(state::time_point now)
    {
        m_count = weighted_count(now) + 1;
        m_as_of = now;
    }

    /// @return events per second
    double per_second(state::time_point now) const
    {
        return weighted_count(now) * 1000 / m_averaging_ms;
    }

private:
    double weighted_count(state::time_point now) const
    {
        auto const age = static_cast<double>((now - m_as_of).count());
        return m_count * std::exp(-age / m_averaging_ms);
    }

    double m_averaging_ms;
    double m_count = 0;
    state::time_point m_as_of;
};

} // namespace camphortide::coordination
