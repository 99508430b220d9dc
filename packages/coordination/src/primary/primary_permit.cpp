#include <algorithm>

#include <camphortide/coordination/primary/primary_permit.hpp>

namespace camphortide::coordination
{

void primary_permit::renew(primary_standing const& standing)
{
    if (standing.m_revision < m_standing.m_revision)
    {
        return;
    }
    if (standing.m_revision == m_standing.m_revision &&
        standing.m_proven < m_standing.m_proven)
    {
        return;
    }
    m_standing = standing;
    if (standing.m_open)
    {
        m_open_revision = standing.m_revision;
        m_open_proven = standing.m_proven;
    }
}

void primary_permit::stop(std::uint64_t revision)
{
    m_stopped_up_to = std::max(m_stopped_up_to, revision);
}

void primary_permit::close(std::uint64_t revision)
{
    stop(revision);
    m_closed_up_to = std::max(m_closed_up_to, revision);
}

bool primary_permit::allows(state::time_point now) const
{
    return m_standing.m_open && m_standing.m_revision > m_stopped_up_to &&
           still_allows(m_standing.m_revision, now);
}

bool primary_permit::still_allows(std::uint64_t revision,
                                  state::time_point now) const
{
    return revision != 0 && revision == m_open_revision &&
           revision > m_closed_up_to && now - m_open_proven < permit_lease;
}

} // namespace camphortide::coordination
