#include <algorithm>

#include <camphortide/coordination/primary/fencing_token.hpp>
#include <camphortide/coordination/primary/primary_permit.hpp>

namespace camphortide::coordination
{

std::optional<primary_status>
status_of(state::stored<state::term_record> const& record, bool registered,
          state::time_point verified_at)
{
    if (!is_of_current_era(record))
    {
        return std::nullopt;
    }
    auto const& term = record.m_record;
    primary_status status;
    status.m_term = term.m_term;
    status.m_primary = term.m_primary;
    status.m_open = registered && term.m_phase == state::term_phase::open;
    status.m_closing = term.m_phase == state::term_phase::closing;
    status.m_orderly = term.m_orderly;
    status.m_revision = record.m_revision;
    status.m_verified_at = verified_at;
    return status;
}

bool primary_permit::confirms_open_record(primary_status const& status) const
{
    return m_status.m_open &&
           m_status.m_revision.era() < status.m_revision.era() &&
           m_status.m_term == status.m_term &&
           m_status.m_primary == status.m_primary;
}

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
    bool const confirmed = confirms_open_record(status);
    m_status = status;
    if (status.m_open)
    {
        m_open_since = confirmed ? m_open_since : status.m_revision;
        m_open_revision = status.m_revision;
        m_open_verified_at = status.m_verified_at;
    }
}

void primary_permit::stop(state::store_revision const& revision)
{
    m_stopped_up_to = std::max(m_stopped_up_to, revision);
}

void primary_permit::close(state::store_revision const& revision)
{
    stop(revision);
    m_closed_up_to = std::max(m_closed_up_to, revision);
}

bool primary_permit::allows(state::time_point now) const
{
    return m_status.m_open && m_status.m_revision > m_stopped_up_to &&
           still_allows(m_status.m_revision, now);
}

bool primary_permit::still_allows(state::store_revision const& revision,
                                  state::time_point now) const
{
    return revision != state::store_revision() && revision >= m_open_since &&
           revision <= m_open_revision && revision > m_closed_up_to &&
           now - m_open_verified_at < permit_lease;
}

} // namespace camphortide::coordination
