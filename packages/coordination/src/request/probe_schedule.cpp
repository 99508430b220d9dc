#include <camphortide/coordination/request/probe_schedule.hpp>

namespace camphortide::coordination
{

void probe_schedule::note_allowed_age(state::duration age,
                                      state::time_point now)
{
    while (!m_allowed_ages.empty() && m_allowed_ages.back().m_age >= age)
    {
        m_allowed_ages.pop_back();
    }
    m_allowed_ages.push_back({age, now + m_limits.m_window});
}

state::duration probe_schedule::interval(state::time_point now)
{
    while (!m_allowed_ages.empty() && m_allowed_ages.front().m_until <= now)
    {
        m_allowed_ages.pop_front();
    }
    if (m_allowed_ages.empty())
    {
        return state::duration::max();
    }
    return m_allowed_ages.front().m_age / m_limits.m_probes_per_age;
}

} // namespace camphortide::coordination
