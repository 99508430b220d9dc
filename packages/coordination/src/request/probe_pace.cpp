#include <camphortide/coordination/request/probe_pace.hpp>

namespace camphortide::coordination
{

void probe_pace::note_age(state::duration age, state::time_point now)
{
    while (!m_asked.empty() && m_asked.back().m_age >= age)
    {
        m_asked.pop_back();
    }
    m_asked.push_back({age, now + m_limits.m_window});
}

state::duration probe_pace::interval(state::time_point now)
{
    while (!m_asked.empty() && m_asked.front().m_until <= now)
    {
        m_asked.pop_front();
    }
    if (m_asked.empty())
    {
        return state::duration::max();
    }
    return m_asked.front().m_age / m_limits.m_probes_in_age;
}

} // namespace camphortide::coordination
