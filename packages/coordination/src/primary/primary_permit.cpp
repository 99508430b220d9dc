#include <algorithm>

#include <camphortide/coordination/primary/primary_permit.hpp>

namespace camphortide::coordination
{

void primary_permit::renew(primary_status const& status)
{
    if (status.m_revision < m_status.m_revision)
    {
        return;
    }
    if (status.m_revision == m_status.m_revision &&
        status.m_verified_at < m_status.m_verified_at)
    {
        return;
    }
    m_status = status;
    if (status.m_open)
    {
        m_open_revision = status.m_revision;
        m_open_verified_at = status.m_verified_at;
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
    return m_status.m_open && m_status.m_revision > m_stopped_up_to &&
           still_allows(m_status.m_revision, now);
}

bool primary_permit::still_allows(std::uint64_t revision,
                                  state::time_point now) const
{
    return revision != 0 && revision == m_open_revision &&
           revision > m_closed_up_to && now - m_open_verified_at < permit_lease;
}

} // namespace camphortide::coordination
