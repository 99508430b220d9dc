#include <camphortide/coordination/placing/primary_positions.hpp>

namespace camphortide::coordination
{

void primary_positions::begin_term(std::uint64_t term)
{
    if (term > m_term)
    {
        m_term = term;
        m_samples.clear();
        m_first.reset();
    }
}

void primary_positions::note(state::log_position position,
                             state::time_point sent)
{
    if (!m_first)
    {
        m_first = position;
    }
    if (!m_samples.empty() && (position <= m_samples.back().m_position ||
                               sent <= m_samples.back().m_sent))
    {
        // The same position at a later time covers more reads; an answer that
        // arrives out of order adds nothing.
        if (position == m_samples.back().m_position &&
            sent > m_samples.back().m_sent &&
            sent - m_samples.back().m_sent >= min_interval)
        {
            m_samples.push_back({position, sent});
        }
        return;
    }
    m_samples.push_back({position, sent});
    while (sent - m_samples.front().m_sent > max_age)
    {
        m_samples.pop_front();
    }
}

std::optional<state::log_position>
primary_positions::covering(state::time_point time) const
{
    for (auto const& each : m_samples)
    {
        if (each.m_sent >= time)
        {
            return each.m_position;
        }
    }
    return std::nullopt;
}

std::optional<state::time_point>
primary_positions::reached_at(state::log_position position) const
{
    for (auto const& each : m_samples)
    {
        if (each.m_position >= position)
        {
            return each.m_sent;
        }
    }
    return std::nullopt;
}

std::optional<state::log_position>
primary_positions::current(session_position const& session) const
{
    return session.m_term < m_term ? m_first
                                   : std::optional(session.m_position);
}

} // namespace camphortide::coordination
