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

/// The control state of an instance: who is live, which catalogue is in
/// force, which groups are at home here and which stops are planned. Lives on
/// the control thread.
class fleet_control
{
public:
    struct handlers
    {
        std::function<void(std::shared_ptr<state::catalogue const>)>
            m_on_catalogue;
        std::function<void(std::string const&)> m_on_instance_gone;
        std::function<void()> m_on_drain_requested;
        std::function<bool()> m_is_idle; ///< nothing in flight here
    };

    /// @param settings of the instance
    /// @param incarnation differs from that of earlier runs, and is higher
    /// @param policy of the gateways
    fleet_control(instance_settings const& settings,
                  gateway_policy const& policy, std::uint64_t incarnation,
                  home_registry& registry, peer_exchange& exchange,
                  platform_client* platform,
                  std::shared_ptr<control_loop> const& loop,
                  handlers event_handlers);

    /// Does what is due.
    void tick(state::time_point now);

    /// Takes a control message of a peer.
    void on_message(peer_route const& from, peer::v1::Envelope const& envelope);

    /// Asks peers for the version of the catalogue that they hold.
    void request_versions() { m_membership.request_versions(); }

    /// Announces that this instance leaves.
    void leave() { m_membership.leave(); }

    /// @return true if no group is at home here, and no share is held
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
    std::size_t const m_watchers; ///< of the store, in each data centre
    handlers const m_handlers;
    home_control m_homes;
    catalogue_control m_catalogue;
    stop_control m_stops;
    membership_control m_membership;
    std::map<std::string, state::instance_state> m_states;
    bool m_reported_watcher = false; ///< to the stops
};

} // namespace camphortide::transport
