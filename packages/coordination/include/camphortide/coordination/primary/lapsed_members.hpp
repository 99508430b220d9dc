#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>

#include <camphortide/state/clock.hpp>
#include <camphortide/state/member_entry.hpp>

namespace camphortide::coordination
{

/// Members whose entries have lapsed. Such a member may have acknowledged
/// commits that no registered replica has, until it registers again, another
/// member of the group takes over its address and with it its log, or a
/// registered replica has received what the primary had after the entry lapsed.
class lapsed_members
{
public:
    /// Notes that a member's entry has lapsed.
    void lapse(state::member_entry const& entry, state::time_point now);

    /// Notes a registered member.
    void note_registered(state::member_entry const& entry);

    /// Notes reports about a group whose primary serves.
    /// @param primary of the primary, requested at primary_requested_at
    /// @param replica the most advanced position of a registered replica
    void note_positions(std::string const& group,
                        state::log_position const& primary,
                        state::time_point primary_requested_at,
                        state::log_position const& replica);

    /// Forgets members whose entries lapsed long ago.
    void expire(state::time_point now);

    /// @param primary member that isn't counted
    /// @return the number of lapsed members of a group
    std::size_t count(std::string const& group,
                      std::string const& primary) const;

private:
    struct lapsed_member
    {
        state::member_entry m_entry;
        state::time_point m_since;
        /// A position that the primary had after the entry lapsed.
        std::optional<state::log_position> m_covered_from;
    };

    std::map<std::string, lapsed_member> m_members; ///< by id
};

} // namespace camphortide::coordination
