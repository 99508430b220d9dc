#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <camphortide/state/clock.hpp>
#include <camphortide/state/fleet_records.hpp>
#include <camphortide/state/member_entry.hpp>

namespace camphortide::coordination
{

/// Members whose entries have lapsed. Such a member may have acknowledged
/// commits that no registered replica has, until it registers again, another
/// member of the group takes over its address and with it its log, or a
/// registered replica has received what the primary had after the member's last
/// sign of life. A member that lost only the store acknowledges on; the holder
/// of the duty goes on asking it.
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

    /// Notes a sign of life of any member, with or without an entry. It may
    /// acknowledge commits for a while after that.
    void note_answer(std::string const& id, state::time_point now);

    /// Notes that a member's process has ended: none listens at its address, or
    /// another member's.
    void note_ended(std::string const& id, state::time_point now);

    /// Notes that this process begins to ask the members, as the holder of the
    /// duty. One that is alive answers before its commits can count as known
    /// elsewhere.
    void begin_asking(state::time_point now);

    /// Notes reports about a group whose primary serves.
    /// @param primary of the primary, requested at primary_requested_at
    /// @param replica the most advanced position of a registered replica
    void note_positions(std::string const& group,
                        state::log_position const& primary,
                        state::time_point primary_requested_at,
                        state::log_position const& replica);

    /// Notes the recorded members. One that isn't registered counts as lapsed
    /// from when its record is first seen; its commits count as known elsewhere
    /// once a holder of the duty has removed it from the record.
    /// @param registered by member id
    void note_records(records const& recorded,
                      std::function<bool(std::string const&)> const& registered,
                      state::time_point now);

    /// Forgets unrecorded members whose entries lapsed long ago.
    void expire(state::time_point now);

    /// @return a group's lapsed members, including those whose commits are
    ///     known elsewhere
    std::vector<state::member_entry> entries(std::string const& group) const;

    /// @return true if the member has lapsed and may have commits that no
    ///     registered replica has
    bool may_have_commits(std::string const& id) const;

    /// @return the addresses of a group's lapsed members that may have commits
    ///     which no registered replica has, by id
    std::map<std::string, std::string>
    addresses(std::string const& group) const;

private:
    struct lapsed_member
    {
        state::member_entry m_entry;
        /// It may have acknowledged commits until then.
        state::time_point m_since;
        /// A position that the primary had after that.
        std::optional<state::log_position> m_covered_from;
        /// A registered replica has received it.
        bool m_covered = false;
    };

    /// @return true if the last records name the member
    bool is_recorded(std::string const& group, std::string const& id) const;

    /// @return true if the member may still acknowledge commits
    bool answered_recently(std::string const& id, state::time_point now) const;

    /// Sets that a member may have acknowledged commits until some time.
    static void extend(lapsed_member& member, state::time_point until);

    std::map<std::string, lapsed_member> m_members; ///< by id
    /// Last sign of life, by member id.
    std::map<std::string, state::time_point> m_answers;
    records m_records; ///< as last noted
};

} // namespace camphortide::coordination
