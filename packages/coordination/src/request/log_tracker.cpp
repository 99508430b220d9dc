#include <algorithm>
#include <functional>

#include <camphortide/coordination/request/log_tracker.hpp>
#include <camphortide/coordination/safe_position.hpp>

namespace camphortide::coordination
{

log_tracker::log_tracker(std::size_t members) : m_members(members) {}

bool log_tracker::note_status(state::member_status const& status)
{
    auto const found = std::ranges::find(m_statuses, status.m_member,
                                         &state::member_status::m_member);
    if (found == m_statuses.end())
    {
        m_statuses.push_back(status);
    }
    else
    {
        *found = status;
    }
    bool const moved = note_primary(status);
    auto const safe = safe_index(m_statuses, m_members, m_view.m_term);
    if (safe <= m_view.m_safe)
    {
        return moved;
    }
    m_view.m_safe = safe;
    return true;
}

void log_tracker::forget(std::string const& member)
{
    std::erase_if(m_statuses, [&](state::member_status const& status)
                  { return status.m_member == member; });
}

bool log_tracker::note_primary(state::member_status const& status)
{
    if (status.m_role != state::member_role::primary ||
        status.m_followed != status.m_granted ||
        status.m_followed < m_view.m_term || status.m_received <= m_view.m_last)
    {
        return false;
    }
    m_view.m_term = status.m_followed;
    m_view.m_last = status.m_received;
    m_view.m_history = status.m_history;
    return true;
}

} // namespace camphortide::coordination
