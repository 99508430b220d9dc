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
    stale,    ///< older than the stored one; discarded
    progress, ///< positions or counters only
    roles     ///< a role, a term or the leaving flag
};

/// The last contact with a member.
struct member_contact
{
    state::time_point m_heard{};
    bool m_known = false;        ///< a status was received since the start
    bool m_disconnected = false; ///< the connection was lost after that
};

/// The latest status of each member of a group as one instance received it.
class group_view
{
public:
    /// @param members the names of all members, without duplicates
    explicit group_view(std::vector<std::string> members);

    /// Stores a status unless a later one is stored. Terms never decrease at a
    /// member; within a term it only adds records, and a primary that stopped
    /// does not become primary again.
    /// @return what changed; stale also for a member not in the group
    status_change note(state::member_status const& status,
                       state::time_point now);

    /// Records that the connection to a member was lost.
    void note_disconnected(std::string_view member);

    /// Restarts the measurement of how long members have not answered, after a
    /// pause of this instance.
    /// @param now the start of the measurement
    /// @param first_probe answers to earlier probes are ignored
    void restart_timeouts(state::time_point now, std::uint64_t first_probe);

    /// @return true if the member answered within an age, to a probe since the
    ///     last restart_timeouts
    bool answers(std::size_t member, state::time_point now,
                 state::duration age) const;

    /// @return the time since the last status of the member, or since
    ///     restart_timeouts if that is later; a lost connection has no effect
    state::duration silence(std::size_t member, state::time_point now) const;

    /// @return the member that reports itself as primary in the highest term,
    ///     unless a majority has granted a higher term; otherwise nothing
    std::optional<std::size_t> primary_index() const;

    /// @return that member with its term and history
    std::optional<group_primary> primary() const;

    /// @return the safe index of the current primary's log; 0 without a primary
    std::uint64_t safe_index() const;

    /// @return the highest term that any member reported as granted
    state::term highest_granted() const;

    /// @return the member's index in statuses(), or nothing
    std::optional<std::size_t> find(std::string_view member) const;

    /// @return the number of members that form a majority
    std::size_t majority() const { return m_statuses.size() / 2 + 1; }

    /// @return the latest statuses; term 0 if not received yet
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
