#pragma once

#include <camphortide/state/clock.hpp>

namespace camphortide::coordination
{

/// Rate of events, as an exponentially decayed count. The rates of several
/// sources add up to the rate of all their events.
class decayed_rate
{
public:
    /// @param time_constant time in which the weight of an event falls to 1/e
    explicit decayed_rate(state::duration time_constant)
        : m_time_constant(time_constant)
    {
    }

    /// Records events.
    void add(double count, state::time_point now);

    /// @return events per second
    double per_second(state::time_point now) const;

private:
    state::duration m_time_constant;
    double m_rate = 0;
    state::time_point m_updated_at;
};

/// @param age time since a rate was measured
/// @return the part of it that is left
double decay(state::duration age, state::duration time_constant);

} // namespace camphortide::coordination
