#pragma once

#include <map>
#include <string>
#include <vector>

#include <camphortide/coordination/primary/replacement.hpp>
#include <camphortide/proxy/fleet_control.hpp>
#include <camphortide/proxy/store_client.hpp>

namespace camphortide::proxy
{

/// Keeps the records of the members of groups whose replicas acknowledge
/// commits, for the holder of the duty: a process that starts while entries
/// have lapsed must know that there are more members than it sees. Used on the
/// control thread only.
class member_records
{
public:
    member_records(store_client& store, fleet_control& fleet);

    /// Discards what earlier holders of the duty knew; call it when the duty is
    /// taken.
    void begin();

    /// Writes a group's record if its members have changed. Without a record,
    /// entries that may have lapsed are waited for first.
    /// @param registered the group's registered members
    /// @param token of the duty
    void update(std::string const& group,
                std::vector<coordination::reported_member> const& registered,
                std::uint64_t token, state::time_point now);

    /// @return true if it is known which members the group has had
    bool are_known(std::string const& group, state::time_point now) const;

private:
    struct group_state
    {
        /// When this process first needed the record under the present duty.
        state::time_point m_since;
        state::time_point m_last_write;
        bool m_writing = false;
        /// Revision of an object of another writer in place of the record; the
        /// default value: there is none.
        state::store_revision m_invalid_revision;
    };

    void write(state::recorded_members const& record,
               state::store_revision const& revision, group_state& group);

    store_client& m_store;
    fleet_control& m_fleet;
    std::map<std::string, group_state> m_groups; ///< by name
};

} // namespace camphortide::proxy
