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

/// Who is live, as one instance sees it. Each instance observes a few others
/// by probes, passes changes on with its heartbeats, and needs no store. The
/// platform's list only names candidates and those that are to leave.
///
/// Call `tick` at least every 100 ms and send what the methods return.
class membership
{
public:
    /// @param settings times and bounds
    /// @param self the own record. Its incarnation has to exceed that of an
    ///     earlier run, such as the milliseconds since 1970
    /// @param seeds addresses of instances that a newcomer asks
    /// @param seed of the choice of peers; differs between instances
    /// @param now the time
    membership(membership_settings const& settings, state::instance_record self,
               std::vector<std::string> seeds, std::uint64_t seed,
               state::time_point now);

    /// Lets time pass.
    /// @param now the time
    /// @return what to send
    std::vector<outgoing_heartbeat> tick(state::time_point now);

    /// Takes a heartbeat of a peer.
    /// @param message the heartbeat
    /// @param now the time
    /// @return what to send
    std::vector<outgoing_heartbeat> on_heartbeat(heartbeat const& message,
                                                 state::time_point now);

    /// Takes the platform's list. It lags: a name on it is a candidate, a name
    /// that is missing tells nothing, and a leaving mark holds as long as the
    /// list shows it.
    /// @param list the whole list
    /// @param now the time
    void on_platform_list(std::span<state::instance_record const> list,
                          state::time_point now);

    /// Asks peers that are not tracked to hold the own version of the
    /// catalogue, for an operator who waits for it. Bounded in each interval.
    /// @return what to send
    std::vector<outgoing_heartbeat> probe_versions();

    /// Announces that this instance leaves. No timeout or report undoes it.
    /// @param now the time
    /// @return what to send at once
    std::vector<outgoing_heartbeat> leave(state::time_point now);

    /// @param held versions that the next heartbeats carry
    void set_held_versions(held_versions held) { m_held = held; }

    /// @return all instances, this one too, by name, with the platform's
    ///     leaving marks applied
    std::vector<state::instance_record> view() const;

    /// @param name of another instance
    /// @return what is tracked of it; null if nothing is. Valid until the next
    ///     call that is not const
    tracked_instance const* find(std::string const& name) const;

    /// @return rises whenever `view` changes
    std::uint64_t revision() const
    {
        return m_table.revision() + m_own_changes;
    }

    /// @return the own record with its present incarnation and state
    state::instance_record const& self() const { return m_self; }

    /// @return true once a peer has sent its whole view
    bool joined() const { return m_joined; }

    /// Looks up the contact with the instances that the platform lists as live,
    /// this one among them.
    /// @return a time after which a majority of them took part in an exchange
    ///     with this instance; nothing if there was no list, or no majority yet
    std::optional<state::time_point>
    last_majority_contact(state::time_point now) const;

    /// @return true if the platform lists no other live instance
    bool is_only_listed_instance() const
    {
        return m_listed_live && m_listed_live->empty();
    }

    /// @return true if the platform's list wants this instance to leave
    bool is_marked_leaving() const;

    /// Chooses live peers at random, for other messages that queue_gossip.
    /// @param count how many at most
    /// @return different live peers
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
    /// other instances that the platform lists as live; nothing: not read yet
    std::optional<std::set<std::string>> m_listed_live;
    std::vector<std::pair<std::string, std::string>> m_candidates;
    std::vector<std::string> m_observed;
    held_versions m_held;
    std::string m_last_slice_name; ///< last name of the latest slice
    std::string
        m_last_probed_name; ///< last name that was asked for its version
    std::uint64_t m_sequence = 0;
    std::uint64_t m_own_changes = 0;
    std::uint64_t m_observed_revision = 0;
    std::size_t m_slices_left = 0;
    std::size_t m_welcomes_left = 0;
    std::size_t m_version_probes_left = 0;
    state::time_point m_last_tick;
    state::time_point m_next_interval;
    state::time_point m_next_push;
    state::duration m_interval_offset{}; ///< keeps intervals of instances apart
    bool m_gossip_pending = false;
    bool m_joined = false;
};

} // namespace camphortide::coordination
