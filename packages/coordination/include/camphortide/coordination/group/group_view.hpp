#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include <camphortide/coordination/group/group_action.hpp>
#include <camphortide/state/member_status.hpp>

namespace camphortide::coordination
{

/// What a new status changed.
enum class status_change
{
    stale,    ///< older than the one held; dropped
    progress, ///< positions or counters only
    roles     ///< a role, a term or the leaving flag
};

/// When a member was last heard.
struct member_contact
{
    state::time_point m_heard{};
    bool m_known = false;        ///< a status has arrived since the start
    bool m_disconnected = false; ///< the connection broke since then
};

/// The latest status of each member of a group as one instance knows it.
class group_view
{
public:
    /// @param members the names of all members, without duplicates
    explicit group_view(std::vector<std::string> members);

    /// Takes a status in unless a later one is held. Terms never fall at a
    /// member; within a term its records are only added, and a primary that
    /// stopped does not return.
    /// @return what changed; stale also for a member not in the group
    status_change note(state::member_status const& status,
                       state::time_point now);

    /// Notes that the connection to a member broke.
    void note_disconnected(std::string_view member);

    /// Forgets how long members have been silent, after this instance was
    /// paused itself.
    /// @param first_probe probes before this one no longer count as answers
    void restart_timeouts(state::time_point now, std::uint64_t first_probe);

    /// @return true if the member answered a probe that counts within an age
    bool answers(std::size_t member, state::time_point now,
                 state::duration age) const;

    /// @return time since the member was last heard, or since the waits were
    ///     restarted; a broken connection does not change it
    state::duration silence(std::size_t member, state::time_point now) const;

    /// @return the member that calls itself primary in the highest term that
    ///     less than a majority has failed beyond, or nothing
    std::optional<std::size_t> primary_index() const;

    /// @return the same with its term and history
    std::optional<group_primary> primary() const;

    /// @return how far the current primary's log is safe; 0 without one
    std::uint64_t safe_index() const;

    /// @return the highest term that any member is known to have granted
    state::term highest_granted() const;

    /// @return the member's place in statuses(), or nothing
    std::optional<std::size_t> find(std::string_view member) const;

    /// @return the number of members that is a majority
    std::size_t majority() const { return m_statuses.size() / 2 + 1; }

    /// @return the latest statuses; one that is not known yet has term 0
    std::span<state::member_status const> statuses() const
    {
        return m_statuses;
    }

    member_contact const& contact(std::size_t member) const
    {
        return m_contacts[member];
    }

private:
    std::vector<state::member_status> m_statuses;
    std::vector<member_contact> m_contacts;
    std::uint64_t m_first_probe = 1;
    state::time_point m_timeouts_from{};
};

} // namespace camphortide::coordination
