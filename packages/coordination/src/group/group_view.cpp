#include <algorithm>
#include <utility>

#include <camphortide/coordination/group/group_view.hpp>
#include <camphortide/coordination/safe_position.hpp>

namespace camphortide::coordination
{

namespace
{

bool is_primary(state::member_status const& status)
{
    return status.m_role == state::member_role::primary &&
           status.m_granted == status.m_followed &&
           status.m_granted != state::term();
}

bool is_older(state::member_status const& status,
              state::member_status const& held)
{
    if (status.m_granted != held.m_granted)
    {
        return status.m_granted < held.m_granted;
    }
    if (status.m_followed != held.m_followed)
    {
        return status.m_followed < held.m_followed;
    }
    if (held.m_received.m_term == held.m_followed &&
        status.m_received < held.m_received)
    {
        return true;
    }
    return status.m_followed == status.m_granted &&
           status.m_role == state::member_role::primary &&
           held.m_role == state::member_role::fenced;
}

bool same_roles(state::member_status const& left,
                state::member_status const& right)
{
    return left.m_role == right.m_role && left.m_granted == right.m_granted &&
           left.m_followed == right.m_followed &&
           left.m_leaving == right.m_leaving;
}

} // namespace

group_view::group_view(std::vector<std::string> members)
    : m_statuses(members.size()),
      m_contacts(members.size())
{
    for (std::size_t member = 0; member < members.size(); ++member)
    {
        m_statuses[member].m_member = std::move(members[member]);
    }
}

status_change group_view::note(state::member_status const& status,
                               state::time_point now)
{
    auto const member = find(status.m_member);
    if (!member)
    {
        return status_change::stale;
    }
    auto& held = m_statuses[*member];
    auto& contact = m_contacts[*member];
    if (contact.m_known && is_older(status, held))
    {
        return status_change::stale;
    }
    bool const roles_unchanged = contact.m_known && same_roles(held, status);
    auto const probe = std::max(held.m_probe, status.m_probe);
    held = status;
    held.m_probe = probe;
    contact = {now, true, false};
    return roles_unchanged ? status_change::progress : status_change::roles;
}

void group_view::note_disconnected(std::string_view member)
{
    if (auto const found = find(member))
    {
        m_contacts[*found].m_disconnected = true;
    }
}

void group_view::restart_timeouts(state::time_point now,
                                  std::uint64_t first_probe)
{
    m_timeouts_from = now;
    m_first_probe = first_probe;
}

bool group_view::answers(std::size_t member, state::time_point now,
                         state::duration age) const
{
    auto const& contact = m_contacts[member];
    return contact.m_known && !contact.m_disconnected &&
           now - contact.m_heard <= age &&
           m_statuses[member].m_probe >= m_first_probe;
}

state::duration group_view::silence(std::size_t member,
                                    state::time_point now) const
{
    return now - std::max(m_contacts[member].m_heard, m_timeouts_from);
}

std::optional<std::size_t> group_view::primary_index() const
{
    std::optional<std::size_t> best;
    for (std::size_t member = 0; member < m_statuses.size(); ++member)
    {
        auto const& status = m_statuses[member];
        if (is_primary(status) &&
            (!best || m_statuses[*best].m_granted < status.m_granted))
        {
            best = member;
        }
    }
    if (!best)
    {
        return std::nullopt;
    }
    auto const above = std::ranges::count_if(
        m_statuses, [&](state::member_status const& status)
        { return status.m_granted > m_statuses[*best].m_granted; });
    return static_cast<std::size_t>(above) < majority() ? best : std::nullopt;
}

std::optional<group_primary> group_view::primary() const
{
    auto const member = primary_index();
    if (!member)
    {
        return std::nullopt;
    }
    auto const& status = m_statuses[*member];
    return group_primary{status.m_member, status.m_granted, status.m_history};
}

std::uint64_t group_view::safe_index() const
{
    auto const member = primary_index();
    return member ? coordination::safe_index(m_statuses, m_statuses.size(),
                                             m_statuses[*member].m_granted)
                  : 0;
}

state::term group_view::highest_granted() const
{
    return std::ranges::max_element(m_statuses, {},
                                    &state::member_status::m_granted)
        ->m_granted;
}

std::optional<std::size_t> group_view::find(std::string_view member) const
{
    auto const found =
        std::ranges::find(m_statuses, member, &state::member_status::m_member);
    if (found == m_statuses.end())
    {
        return std::nullopt;
    }
    return static_cast<std::size_t>(found - m_statuses.begin());
}

} // namespace camphortide::coordination
