#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include <camphortide/state/clock.hpp>
#include <camphortide/state/instance_record.hpp>

namespace camphortide::coordination
{

/// The state that one instance keeps about another.
struct tracked_instance
{
    state::instance_record m_record;
    std::uint64_t m_name_hash = 0;        ///< of the name
    state::time_point m_last_heard{};     ///< latest message from it
    state::time_point m_observed_since{}; ///< start of the present observation
    state::time_point m_state_changed{};  ///< latest change of its state
    bool m_is_observed = false;
    /// Version of the catalogue by its own heartbeats; 0 until one has arrived.
    std::uint64_t m_catalogue = 0;
};

/// The records of all other instances, and the rule by which reports are merged
/// into them.
class instance_table
{
public:
    /// @param max_instances the maximum number of instances
    explicit instance_table(std::size_t max_instances)
        : m_max_instances(max_instances)
    {
    }

    /// Merges a report. A higher incarnation wins; within one incarnation the
    /// greater state wins.
    /// @param report the reported record
    /// @param now the current time
    /// @return true if the report changed the record or added one
    bool merge(state::instance_record const& report, state::time_point now);

    /// @param name the name of an instance
    /// @return its entry; null if there is none
    tracked_instance* find(std::string const& name);

    /// Removes instances that are not live and have not changed since a time.
    /// @param before the time
    void forget(state::time_point before);

    /// @return a checksum over the live instances and their incarnations,
    ///     independent of their order
    std::uint64_t checksum() const { return m_checksum; }

    /// @return a number that increases whenever a record is added or changed
    std::uint64_t revision() const { return m_revision; }

    /// @return names of the suspected instances
    std::set<std::string> const& suspected() const { return m_suspected; }

    /// @return all entries by name
    std::map<std::string, tracked_instance>& all() { return m_instances; }
    /// @return all entries by name
    std::map<std::string, tracked_instance> const& all() const
    {
        return m_instances;
    }

private:
    void toggle_checksum(tracked_instance const& tracked);
    void update_suspected(state::instance_record const& record);

    std::size_t m_max_instances;
    std::map<std::string, tracked_instance> m_instances;
    std::set<std::string> m_suspected;
    std::uint64_t m_checksum = 0;
    std::uint64_t m_revision = 0;
};

/// One instance's part of a checksum.
/// @param record the instance
/// @return its part; 0 if it is not live
std::uint64_t checksum_share(state::instance_record const& record);

} // namespace camphortide::coordination
