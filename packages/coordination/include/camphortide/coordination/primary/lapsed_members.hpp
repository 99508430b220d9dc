#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <string>

#include <camphortide/state/clock.hpp>
#include <camphortide/state/fleet_records.hpp>
#include <camphortide/state/member_entry.hpp>

namespace camphortide::coordination
{

/// Members whose entries have lapsed. Such a member may have acknowledged
/// commits that no registered replica has, until it registers again, another
/// member of the group takes over its address and with it its log, or a
/// registered replica has received what the primary had after the entry lapsed.
///
/// The holder of the duty records the members of a group, with those that have
/// lapsed, so that a process that has started since knows them too.
class lapsed_members
{
public:
    /// By group.
    using records =
        std::map<std::string, state::stored<state::recorded_members>>;

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

    /// Notes the recorded members. One that isn't registered counts as lapsed
    /// from when its record is first seen; it is forgotten once a holder of the
    /// duty has removed it from the record.
    /// @param registered by member id
    void note_records(records const& recorded,
                      std::function<bool(std::string const&)> const& registered,
                      state::time_point now);

    /// Forgets unrecorded members whose entries lapsed long ago.
    void expire(state::time_point now);

    /// @return the addresses of a group's lapsed members, by id
    std::map<std::string, std::string>
    addresses(std::string const& group) const;

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

    /// @return true if the last records name the member
    bool is_recorded(std::string const& group, std::string const& id) const;

    std::map<std::string, lapsed_member> m_members; ///< by id
    records m_records;                              ///< as last noted
};

} // namespace camphortide::coordination
