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

/// What one instance knows of another.
struct tracked_instance
{
    state::instance_record m_record;
    std::uint64_t m_name_hash = 0;        ///< of the name
    state::time_point m_last_heard{};     ///< last message from it
    state::time_point m_observed_since{}; ///< since when it is observed
    state::time_point m_state_changed{};  ///< of the state
    bool m_is_observed = false;
    /// Of the catalogue, as its own heartbeats tell; 0 until one came.
    std::uint64_t m_catalogue = 0;
};

/// The records of all instances but the own, with the rule that merges a
/// report into them.
class instance_table
{
public:
    /// @param most how many instances are kept
    explicit instance_table(std::size_t most) : m_max_instances(most) {}

    /// Merges a report: the higher incarnation is kept, and of one
    /// incarnation the greater state.
    /// @param report what is reported
    /// @param now the time
    /// @return true if the report told something new
    bool merge(state::instance_record const& report, state::time_point now);

    /// @param name an instance's name
    /// @return what is tracked; null if nothing is
    tracked_instance* find(std::string const& name);

    /// Removes those that have been gone or leaving for long.
    /// @param before they changed before this time
    void forget(state::time_point before);

    /// @return a sum over the live instances and their incarnations that does
    ///     not depend on an order
    std::uint64_t checksum() const { return m_checksum; }

    /// @return rises whenever a live instance is added, removed or changed
    std::uint64_t revision() const { return m_revision; }

    /// @return names of the suspected instances
    std::set<std::string> const& suspected() const { return m_suspected; }

    /// @return all that is tracked, by name
    std::map<std::string, tracked_instance>& all() { return m_instances; }
    /// @return all that is tracked, by name
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

/// The share of one instance in a checksum.
/// @param record the instance; one that is not live has no share
/// @return the share
std::uint64_t checksum_share(state::instance_record const& record);

} // namespace camphortide::coordination
