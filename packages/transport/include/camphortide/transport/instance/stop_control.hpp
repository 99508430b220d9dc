#pragma once

#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include <camphortide/coordination/fleet/stop_list_follower.hpp>
#include <camphortide/coordination/fleet/stop_planner.hpp>
#include <camphortide/transport/instance/control_loop.hpp>
#include <camphortide/transport/instance/peer_exchange.hpp>
#include <camphortide/transport/platform/platform_client.hpp>

namespace camphortide::transport
{

/// Maintains the list of planned stops on the control thread, and writes the
/// progress of stops to the store.
class stop_control
{
public:
    stop_control(std::string const& self, std::uint64_t seed,
                 peer_exchange& exchange, platform_client* platform,
                 control_loop& loop);

    /// Executes the follower's actions that are due.
    void tick(state::time_point now);

    /// Updates the view of the instances.
    /// @param is_watcher true if this instance watches the store
    /// @param watchers the number of instances that do
    void on_view(std::vector<state::instance_record> const& view,
                 bool is_watcher, std::size_t watchers);

    /// Handles the list's version that a peer's heartbeat carries.
    void on_peer_version(std::string const& peer, std::uint64_t version);

    /// Handles a peer's list.
    void on_stops(state::stop_list list);

    /// Handles a peer's request for the list.
    void on_request(std::string const& peer);

    /// Writes the progress of stops to the store.
    void report(std::vector<coordination::stop_report> const& reports);

    /// @return the newest cached list
    state::stop_list const& list() const { return m_follower.list(); }

private:
    void perform(coordination::stop_list_follower::actions const& actions);
    void perform(coordination::list_stops const& action);
    void perform(coordination::send_stops const& action);
    void perform(coordination::request_stops const& action);
    void watch_store();
    void process_objects(platform_objects const& objects);

    coordination::stop_list_follower m_follower;
    peer_exchange& m_exchange;
    platform_client* const m_platform;
    control_loop& m_loop;
    std::unique_ptr<platform_watch> m_watch;
    std::set<std::string> m_pending_writes; ///< by stop id
};

} // namespace camphortide::transport
