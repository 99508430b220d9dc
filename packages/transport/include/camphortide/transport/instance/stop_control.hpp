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

/// Keeps the list of planned stops on the control thread, and writes how far
/// they are to the store.
class stop_control
{
public:
    stop_control(std::string const& self, std::uint64_t seed,
                 peer_exchange& exchange, platform_client* platform,
                 control_loop& loop);

    /// Does what is due.
    void tick(state::time_point now);

    /// Takes a new view of the instances.
    /// @param is_watcher true if this instance reads the store
    /// @param watchers how many instances do
    void on_view(std::vector<state::instance_record> const& view,
                 bool is_watcher, std::size_t watchers);

    /// Takes the version that a peer's heartbeat carries.
    void on_peer_version(std::string const& peer, std::uint64_t version);

    /// Takes a peer's list.
    void on_stops(state::stop_list list);

    /// Takes a peer's request for the list.
    void on_request(std::string const& peer);

    /// Writes how far stops are.
    void report(std::vector<coordination::stop_report> const& reports);

    /// @return the newest list known
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
    std::set<std::string> m_pending_writes; ///< stops with a write outstanding
};

} // namespace camphortide::transport
