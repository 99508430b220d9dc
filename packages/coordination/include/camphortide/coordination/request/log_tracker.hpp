#pragma once

#include <cstddef>
#include <vector>

#include <camphortide/coordination/request/log_view.hpp>
#include <camphortide/state/member_status.hpp>

namespace camphortide::coordination
{

/// Tracks the primary's log by the statuses of the members.
class log_tracker
{
public:
    /// @param members the size of the group
    explicit log_tracker(std::size_t members);

    /// Records the latest status of a member.
    /// @return true if the view changed
    bool note_status(state::member_status const& status);

    /// Removes the member's status, after it left the group.
    void forget(std::string const& member);

    /// @return the primary's log as last reported. The safe index never
    ///     decreases: a safe record stays safe under every later primary
    log_view const& view() const { return m_view; }

    /// @return the latest status of each member
    std::vector<state::member_status> const& statuses() const
    {
        return m_statuses;
    }

private:
    bool note_primary(state::member_status const& status);

    std::size_t m_members;
    std::vector<state::member_status> m_statuses;
    log_view m_view;
};

} // namespace camphortide::coordination
