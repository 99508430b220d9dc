#include <camphortide/coordination/limits/connection_budget.hpp>

namespace camphortide::coordination
{

namespace
{

constexpr state::duration report_age{1000};
constexpr state::duration pause_after_refusal{250};

} // namespace

void connection_budget::report(std::int64_t connections, std::int64_t limit,
                               state::time_point asked_at)
{
    if (!m_report || m_report->m_asked_at <= asked_at)
    {
        m_report = member_report{connections, limit, asked_at};
    }
}

bool connection_budget::may_open(std::int64_t opening, std::int64_t in_use,
                                 state::time_point now) const
{
    bool const paused = m_refused && now - *m_refused < pause_after_refusal;
    if (in_use >= m_allowance.m_amount || paused)
    {
        return false;
    }
    return member_agrees(opening, now);
}

void connection_budget::refused(state::time_point now)
{
    m_changed = now;
    m_refused = now;
}

bool connection_budget::heard(state::time_point now) const
{
    return m_report && now - m_report->m_asked_at <= report_age;
}

bool connection_budget::member_agrees(std::int64_t opening,
                                      state::time_point now) const
{
    bool const room = heard(now) && m_report->m_connections < m_report->m_limit;
    if (m_allowance.m_certainty == share_certainty::guarded)
    {
        return room && opening == 0 && m_report->m_asked_at >= m_changed;
    }
    bool const current = heard(now) && m_report->m_asked_at >= m_changed;
    return room || !current;
}

} // namespace camphortide::coordination
