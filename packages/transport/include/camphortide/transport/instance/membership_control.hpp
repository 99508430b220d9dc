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

/// Runs membership on the control thread: sends its heartbeats and gives it
/// the platform's list.
class membership_control
{
public:
    using view_handler =
        std::function<void(std::vector<state::instance_record> const&)>;

    /// @param membership as it starts
    /// @param on_view is called after each change of the view
    membership_control(coordination::membership membership,
                       peer_exchange& exchange, platform_client* platform,
                       control_loop& loop, view_handler on_view);

    /// Does what is due.
    /// @param reads_list true if this instance asks the platform for its list
    void tick(state::time_point now, bool is_watcher);

    /// Takes a heartbeat.
    void on_heartbeat(coordination::heartbeat const& message);

    /// Asks peers for the version of the catalogue that they hold.
    void request_versions() { send(m_membership.probe_versions()); }

    /// Announces that this instance leaves.
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
