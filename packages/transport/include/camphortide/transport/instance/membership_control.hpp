#pragma once

#include <functional>
#include <string>
#include <vector>

#include <camphortide/coordination/fleet/membership.hpp>
#include <camphortide/transport/instance/control_loop.hpp>
#include <camphortide/transport/instance/peer_exchange.hpp>
#include <camphortide/transport/platform/platform_client.hpp>

namespace camphortide::transport
{

/// Runs the membership on the control thread: sends its heartbeats and passes
/// the platform's list of instances to it.
class membership_control
{
public:
    using view_handler =
        std::function<void(std::vector<state::instance_record> const&)>;

    /// @param membership in its initial state
    /// @param on_view called after each change of the view
    membership_control(coordination::membership membership,
                       peer_exchange& exchange, platform_client* platform,
                       control_loop& loop, view_handler on_view);

    /// Sends the heartbeats that are due, and reads the platform's list when it
    /// is due.
    /// @param is_watcher true if this instance watches the store; it then reads
    ///     the list more often
    void tick(state::time_point now, bool is_watcher);

    /// Handles a peer's heartbeat.
    void on_heartbeat(coordination::heartbeat const& message);

    /// Requests from peers the version of the catalogue that they hold.
    void request_versions() { send(m_membership.probe_versions()); }

    /// Announces to the peers that this instance is leaving.
    void leave();

    coordination::membership& membership() { return m_membership; }
    coordination::membership const& membership() const { return m_membership; }

private:
    void send(std::vector<coordination::outgoing_heartbeat> const& heartbeats);
    void read_list(state::time_point now);
    void publish_view();

    coordination::membership m_membership;
    peer_exchange& m_exchange;
    platform_client* const m_platform;
    control_loop& m_loop;
    view_handler const m_on_view;
    std::uint64_t m_published_revision = 0;
    bool m_published = false;
    bool m_read_pending = false;
    state::duration m_list_interval{};
    state::time_point m_last_list_read{};
};

} // namespace camphortide::transport
