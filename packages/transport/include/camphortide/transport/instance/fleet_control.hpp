#pragma once

#include <functional>
#include <memory>
#include <string>

#include <camphortide/transport/instance/catalogue_control.hpp>
#include <camphortide/transport/instance/home_control.hpp>
#include <camphortide/transport/instance/membership_control.hpp>
#include <camphortide/transport/instance/stop_control.hpp>
#include <camphortide/transport/settings/instance_settings.hpp>

namespace camphortide::transport
{

/// The control state of an instance: the membership view, the catalogue in
/// force, the groups that this instance is a home of, and the planned stops.
/// Used only on the control thread.
class fleet_control
{
public:
    struct handlers
    {
        std::function<void(std::shared_ptr<state::catalogue const>)>
            m_on_catalogue;
        std::function<void(std::string const&)> m_on_instance_gone;
        std::function<void()> m_on_drain_requested;
        std::function<bool()> m_is_idle; ///< no caller's request is in flight
    };

    /// @param incarnation higher than that of every earlier run of the instance
    /// @param policy of the gateways
    fleet_control(instance_settings const& settings,
                  gateway_policy const& policy, std::uint64_t incarnation,
                  home_registry& registry, peer_exchange& exchange,
                  platform_client* platform,
                  std::shared_ptr<control_loop> const& loop,
                  handlers event_handlers);

    /// Executes the periodic work of all parts.
    void tick(state::time_point now);

    /// Handles a peer's control message.
    void on_message(peer_route const& from, peer::v1::Envelope const& envelope);

    /// Requests from peers the version of the catalogue that they hold.
    void request_versions() { m_membership.request_versions(); }

    /// Announces to the peers that this instance is leaving.
    void leave() { m_membership.leave(); }

    /// @return true if this instance is a home of no group and holds no shares
    bool has_left() const { return m_homes.has_left(); }

    /// Closes the gateways.
    void close() { m_homes.close(); }

    membership_control const& membership() const { return m_membership; }
    catalogue_control const& catalogue() const { return m_catalogue; }
    home_control const& homes() const { return m_homes; }
    stop_control const& stops() const { return m_stops; }

private:
    void on_view(std::vector<state::instance_record> const& view);
    void on_heartbeat(peer::v1::Envelope const& envelope);
    void apply_stop_plan(state::time_point now);
    void update_stop_control(std::vector<state::instance_record> const& view);

    std::string const m_self;
    std::size_t const m_watchers; ///< max. store watchers per data centre
    handlers const m_handlers;
    home_control m_homes;
    catalogue_control m_catalogue;
    stop_control m_stops;
    membership_control m_membership;
    std::map<std::string, state::instance_state> m_states;
    bool m_reported_watcher = false; ///< watcher state last set in m_stops
};

} // namespace camphortide::transport
