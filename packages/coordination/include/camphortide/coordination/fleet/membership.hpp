#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <utility>
#include <vector>

#include <camphortide/coordination/fleet/gossip_queue.hpp>
#include <camphortide/coordination/fleet/heartbeat.hpp>
#include <camphortide/coordination/fleet/instance_table.hpp>
#include <camphortide/coordination/fleet/membership_settings.hpp>
#include <camphortide/coordination/fleet/rendezvous.hpp>

namespace camphortide::coordination
{

/// Tracks which instances are live, as one instance sees it. Each instance
/// probes a few others and gossips changes in its heartbeats; the store is not
/// needed. The platform's list only contributes candidates and marks of
/// instances that are to leave.
///
/// Call `tick` at least every 100 ms and send what the methods return.
class membership
{
public:
    /// @param settings times and bounds
    /// @param self the record of this instance. Its incarnation must exceed
    ///     that of any earlier run, such as the milliseconds since 1970
    /// @param seeds addresses of instances that a new instance sends joins to
    /// @param seed of the choice of peers; differs between instances
    /// @param now the current time
    membership(membership_settings const& settings, state::instance_record self,
               std::vector<std::string> seeds, std::uint64_t seed,
               state::time_point now);

    /// Checks timeouts and starts due heartbeats.
    /// @param now the current time
    /// @return heartbeats to send
    std::vector<outgoing_heartbeat> tick(state::time_point now);

    /// Handles a heartbeat from a peer.
    /// @param message the heartbeat
    /// @param now the current time
    /// @return heartbeats to send
    std::vector<outgoing_heartbeat> on_heartbeat(heartbeat const& message,
                                                 state::time_point now);

    /// Handles the platform's list, which may be out of date: a listed instance
    /// is a candidate, an absent one is not assumed to be gone, and a leaving
    /// mark applies as long as it is listed.
    /// @param list the whole list
    /// @param now the current time
    void on_platform_list(std::span<state::instance_record const> list,
                          state::time_point now);

    /// Probes peers whose version of the catalogue is not known to have reached
    /// this instance's, for an operator who waits for it. Limited in each
    /// interval.
    /// @return heartbeats to send
    std::vector<outgoing_heartbeat> probe_versions();

    /// Announces that this instance leaves. No timeout or report reverts it.
    /// @param now the current time
    /// @return heartbeats to send immediately
    std::vector<outgoing_heartbeat> leave(state::time_point now);

    /// @param held versions to include in the next heartbeats
    void set_held_versions(held_versions held) { m_held = held; }

    /// @return all instances including this one, sorted by name, with the
    ///     platform's leaving marks applied
    std::vector<state::instance_record> view() const;

    /// @param name the name of another instance
    /// @return its entry; null if there is none. Valid until the next call of a
    ///     non-const method
    tracked_instance const* find(std::string const& name) const;

    /// @return a number that increases whenever `view` changes
    std::uint64_t revision() const
    {
        return m_table.revision() + m_own_changes;
    }

    /// @return the record of this instance with its present incarnation and
    ///     state
    state::instance_record const& self() const { return m_self; }

    /// @return true once a peer has sent its whole view
    bool joined() const { return m_joined; }

    /// Determines the last contact with a majority of the instances that the
    /// platform lists as live, including this one.
    /// @param now the current time
    /// @return a time after which a majority of them exchanged messages with
    ///     this instance; none if there was no list or no majority yet
    std::optional<state::time_point>
    last_majority_contact(state::time_point now) const;

    /// @return true if the platform lists no other live instance
    bool is_only_listed_instance() const
    {
        return m_listed_live && m_listed_live->empty();
    }

    /// @return true if the platform's list marks this instance as leaving
    bool is_marked_leaving() const;

    /// Chooses live peers at random, for messages that are distributed by
    /// gossip.
    /// @param count the maximum number of peers
    /// @return distinct live peers
    std::vector<state::instance_record> random_peers(std::size_t count);

private:
    using actions = std::vector<outgoing_heartbeat>;

    void record_contact(heartbeat const& message, state::time_point now);
    void merge_report(state::instance_record const& report,
                      state::time_point now);
    void refute(state::instance_record const& report);
    void restart_timeouts_after_pause(state::time_point now);
    void check_observed(state::time_point now);
    void choose_observed(state::time_point now);
    void evaluate(tracked_instance& tracked, state::time_point now);
    void set_state(tracked_instance& tracked, state::instance_state to,
                   state::time_point now);
    void queue_gossip(std::string const& name);
    void send_interval_heartbeats(actions& out);
    void send_joins(actions& out);
    void probe_unobserved(actions& out);
    void send_gossip(actions& out, state::time_point now);
    void reply_to(heartbeat const& message, actions& out);
    heartbeat make_heartbeat(heartbeat_kind kind);
    void add_record(heartbeat& message, std::string const& name) const;
    void add_slice(heartbeat& message);
    void add_all_records(heartbeat& message) const;
    std::uint64_t checksum() const;

    membership_settings m_settings;
    state::instance_record m_self;
    std::vector<std::string> m_seeds;
    seeded_sequence m_random;
    instance_table m_table;
    gossip_queue m_gossip;
    std::set<std::string> m_platform_leaving;
    /// other instances that the platform lists as live; none before the first
    /// list
    std::optional<std::set<std::string>> m_listed_live;
    std::vector<std::pair<std::string, std::string>> m_candidates;
    std::vector<std::string> m_observed;
    held_versions m_held;
    std::string m_last_slice_name; ///< last name in the latest slice
    /// Last name probed for its version.
    std::string m_last_probed_name;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_own_changes = 0;
    std::uint64_t m_observed_revision = 0;
    std::size_t m_slices_left = 0;
    std::size_t m_welcomes_left = 0;
    std::size_t m_version_probes_left = 0;
    state::time_point m_last_tick;
    state::time_point m_next_interval;
    state::time_point m_next_gossip;
    /// First interval only: staggers the instances.
    state::duration m_interval_offset{};
    bool m_gossip_pending = false;
    bool m_joined = false;
};

} // namespace camphortide::coordination
