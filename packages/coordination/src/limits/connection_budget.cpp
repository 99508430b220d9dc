#include <camphortide/coordination/limits/connection_budget.hpp>

namespace camphortide::coordination
{

namespace
{

constexpr state::duration max_report_age{1000};
constexpr state::duration refusal_pause{250};

} // namespace

void connection_budget::note_report(std::int64_t connections,
                                    std::int64_t limit,
                                    state::time_point requested_at)
{
    if (!m_report || m_report->m_requested_at <= requested_at)
    {
        m_report = member_report{connections, limit, requested_at};
    }
}

bool connection_budget::may_open(std::int64_t opening, std::int64_t in_use,
                                 state::time_point now) const
{
    bool const in_pause =
        m_last_refusal && now - *m_last_refusal < refusal_pause;
    if (in_use >= m_allowance.m_amount || in_pause)
    {
        return false;
    }
    return member_allows(opening, now);
}

void connection_budget::note_refusal(state::time_point now)
{
    m_last_change = now;
    m_last_refusal = now;
}

bool connection_budget::has_recent_report(state::time_point now) const
{
    return m_report && now - m_report->m_requested_at <= max_report_age;
}

bool connection_budget::member_allows(std::int64_t opening,
                                      state::time_point now) const
{
    bool const has_capacity =
        has_recent_report(now) && m_report->m_connections < m_report->m_limit;
    if (m_allowance.m_guarantee == share_guarantee::provisional)
    {
        return has_capacity && opening == 0 &&
               m_report->m_requested_at >= m_last_change;
    }
    bool const up_to_date =
        has_recent_report(now) && m_report->m_requested_at >= m_last_change;
    return has_capacity || !up_to_date;
}

} // namespace camphortide::coordination
