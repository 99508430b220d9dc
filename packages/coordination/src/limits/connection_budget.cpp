#include <algorithm>

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

bool connection_budget::may_open(state::time_point now) const
{
    bool const paused = m_refused && now - *m_refused < pause_after_refusal;
    if (in_use() >= m_allowance.m_amount || paused)
    {
        return false;
    }
    return member_agrees(now);
}

void connection_budget::opening()
{
    m_opening += 1;
}

void connection_budget::opened(state::time_point now)
{
    m_opening -= 1;
    m_open += 1;
    m_changed = now;
}

void connection_budget::refused(state::time_point now)
{
    m_opening -= 1;
    m_changed = now;
    m_refused = now;
}

void connection_budget::closed(state::time_point now)
{
    m_open -= 1;
    m_changed = now;
}

std::int64_t connection_budget::excess() const
{
    return std::max(in_use() - m_allowance.m_amount, std::int64_t{0});
}

bool connection_budget::member_agrees(state::time_point now) const
{
    bool const fresh = m_report && now - m_report->m_asked_at <= report_age;
    bool const room = fresh && m_report->m_connections < m_report->m_limit;
    if (m_allowance.m_certainty == share_certainty::guarded)
    {
        return room && m_opening == 0 && m_report->m_asked_at >= m_changed;
    }
    bool const current = fresh && m_report->m_asked_at >= m_changed;
    return room || !current;
}

} // namespace camphortide::coordination
