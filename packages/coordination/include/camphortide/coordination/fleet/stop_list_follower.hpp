#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <variant>
#include <vector>

#include <camphortide/coordination/fleet/rendezvous.hpp>
#include <camphortide/state/clock.hpp>
#include <camphortide/state/instance_record.hpp>
#include <camphortide/state/planned_stop.hpp>

namespace camphortide::coordination
{

/// Action: read all objects below the prefix of the planned stops.
struct list_stops
{
};

/// Action: send the list of stops to a peer.
struct send_stops
{
    std::string m_peer;
    state::stop_list m_list;
};

/// Action: request a peer's list of stops.
struct request_stops
{
    std::string m_peer;
};

using stop_list_action = std::variant<list_stops, send_stops, request_stops>;

/// Times and bounds of a follower of the planned stops.
struct stop_list_settings
{
    /// Average time between reads, by all watchers together.
    state::duration m_poll_interval{1000};
    /// Upper bound of the time between two reads by one watcher.
    state::duration m_max_poll_interval{10'000};
    state::duration m_peer_timeout{1000};   ///< between requests to peers
    state::duration m_call_timeout{10'000}; ///< of a read of the store
    std::size_t m_send_peers = 4;           ///< receivers of a new list
};

/// Keeps an instance's list of planned stops at the newest version it can
/// obtain: watchers read the store, the others receive the list from peers.
class stop_list_follower
{
public:
    using actions = std::vector<stop_list_action>;

    /// @param settings times and bounds
    /// @param self the name of this instance
    /// @param seed of the jitter and the choice of peers
    /// @param now the current time
    stop_list_follower(stop_list_settings const& settings, std::string self,
                       std::uint64_t seed, state::time_point now);

    /// Updates the view of the instances.
    /// @param view all instances, including this one
    /// @param is_watcher true if this instance reads the store
    /// @param watchers the number of instances that do
    void on_view(std::span<state::instance_record const> view, bool is_watcher,
                 std::size_t watchers);

    /// Starts a read if one is due.
    /// @return actions to carry out
    actions tick(state::time_point now);

    /// Handles a watch event: an object below the prefix has changed.
    void on_store_changed(state::time_point now) { m_next_read = now; }

    /// Handles the list that was read from the store.
    /// @return actions to carry out
    actions on_store_list(state::stop_list list, state::time_point now);

    /// Handles a failed read.
    void on_store_failed(state::time_point now);

    /// Handles a peer's version, from a heartbeat.
    /// @return actions to carry out
    actions on_peer_version(std::string const& peer, std::uint64_t version,
                            state::time_point now);

    /// Handles a peer's list.
    /// @return actions to carry out
    actions on_stops(state::stop_list list);

    /// Handles a peer's request.
    /// @return actions to carry out
    actions on_request(std::string const& peer) const;

    /// @return the newest list received
    state::stop_list const& list() const { return m_list; }

private:
    actions replace_list(state::stop_list list);
    state::duration jittered(state::duration mean);

    stop_list_settings m_settings;
    std::string m_self;
    seeded_sequence m_random;
    std::vector<std::string> m_peers;
    bool m_is_watcher = false;
    state::duration m_own_poll_interval;
    bool m_is_reading = false;
    state::time_point m_read_sent;
    state::time_point m_next_read;
    state::time_point m_next_request;
    state::stop_list m_list;
};

} // namespace camphortide::coordination
