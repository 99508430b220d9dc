#pragma once

#include "broken_rule.hpp"
#include "guarantee_checker.hpp"
#include "in_flight_messages.hpp"
#include "schedule_random.hpp"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <camphortide/coordination/group/group_monitor.hpp>

namespace camphortide::standin
{

/// Simulates the members of a group, the messages between them and the homes,
/// and faults. Time passes and messages are delivered only when a schedule
/// calls for it.
class group_simulation
{
public:
    group_simulation(std::size_t members, std::uint64_t seed,
                     broken_rule broken);

    /// Makes the first member the primary and the others its replicas.
    void start_with_primary();

    /// Adds a message to those in flight; deliver_random() delivers it.
    void send(message value);

    /// Delivers, loses or duplicates a random message in flight.
    void deliver_random();

    /// Sends records to another member if the sender is a primary.
    void replicate(std::size_t from, std::size_t to);

    /// Applies a random number of the records that a member received.
    void apply_records(std::size_t member);

    void crash(std::size_t member);
    void start(std::size_t member);
    void pause(node_id node) { m_paused.insert(node); }
    void resume(node_id node) { m_paused.erase(node); }
    void disconnect(node_id left, node_id right);
    /// Starts all members, resumes all nodes and removes all disconnections.
    void heal();

    /// Checks the guarantees after a member may have changed.
    void member_changed(std::size_t member);

    /// @return the status that a member reports
    state::member_status status(std::size_t member, std::uint64_t probe) const;

    /// @return the index of the member with a name
    std::size_t index_of(std::string const& name) const;

    bool is_down(std::size_t member) const { return m_down[member]; }
    bool is_paused(node_id node) const { return m_paused.contains(node); }
    std::size_t size() const { return m_members.size(); }
    member_model& member(std::size_t index) { return m_members[index]; }
    std::vector<std::string> member_names() const;
    broken_rule broken() const { return m_broken_rule; }
    void advance_time(state::duration span) { m_now += span; }
    state::time_point now() const { return m_now; }
    schedule_random& random() { return m_random; }
    guarantee_checker& checker() { return m_checker; }
    std::size_t in_flight() const { return m_messages.size(); }

    /// Records an event if m_tracing is set.
    void trace(std::string text);
    std::vector<std::string> const& events() const { return m_events; }
    bool m_tracing = false;
    bool m_reliable = false; ///< no message is lost at random or duplicated

private:
    bool can_arrive(message const& value) const;
    bool is_crashed_member(node_id node) const;
    bool is_disconnected(node_id left, node_id right) const;
    void deliver(message const& value);

    std::vector<member_model> m_members;
    std::vector<bool> m_down;
    std::vector<state::time_point> m_last_received;
    std::vector<std::vector<std::uint64_t>> m_matching_index;
    std::set<node_id> m_paused;
    std::set<std::pair<node_id, node_id>> m_disconnected;
    in_flight_messages m_messages;
    schedule_random m_random;
    broken_rule m_broken_rule;
    state::time_point m_now{};
    guarantee_checker m_checker;
    std::vector<std::string> m_events;
};

} // namespace camphortide::standin
