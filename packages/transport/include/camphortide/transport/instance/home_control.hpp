#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <camphortide/coordination/fleet/home_table.hpp>
#include <camphortide/coordination/fleet/stop_planner.hpp>
#include <camphortide/coordination/group/group_settings.hpp>
#include <camphortide/state/catalogue.hpp>
#include <camphortide/transport/instance/group_control.hpp>
#include <camphortide/transport/instance/home_registry.hpp>
#include <camphortide/transport/instance/ledger_control.hpp>
#include <camphortide/transport/instance/write_pause_control.hpp>

namespace camphortide::transport
{

/// Settings of a home control.
struct home_settings
{
    std::string m_self;
    std::uint64_t m_incarnation = 0;
    std::size_t m_homes_per_group = coordination::home_table::all;
    state::duration m_max_leave_time{}; ///< then a leaving instance has ended
    coordination::group_settings m_group;
    gateway_policy m_policy;
    std::string m_members_authority; ///< PEM file; empty: no TLS to members
};

/// Manages the gateways of the groups that this instance is a home of. Used
/// only on the control thread.
class home_control
{
public:
    /// @param settings of the instance
    /// @param registry updated for the traffic threads
    /// @param exchange connection to the other homes
    /// @param platform the store; null if there is none
    home_control(home_settings settings, home_registry& registry,
                 peer_exchange& exchange, platform_client* platform,
                 std::shared_ptr<control_loop> loop);

    /// Applies a version of the catalogue.
    void on_catalogue(std::shared_ptr<state::catalogue const> catalogue);

    /// Updates the view of the instances.
    void on_view(std::vector<state::instance_record> const& view);

    /// Records the last contact with a majority of the instances.
    /// @param requested_at a time before the requests to them were sent;
    ///     nothing if there was no contact
    /// @param complete false while instances may be missing from the view
    void set_contact(std::optional<state::time_point> requested_at,
                     bool complete)
    {
        m_ledgers.set_contact(requested_at, complete);
    }

    /// Executes the periodic work of every group hosted here.
    void tick(state::time_point now);

    /// Executes what planned stops require of the groups hosted here.
    void apply(coordination::stop_plan const& plan, state::time_point now);

    /// @return the state of the members, as input for the planning of stops
    std::vector<coordination::member_observation> observations() const;

    /// @return true if no write or transaction is in flight at a home here
    bool idle() const;

    /// @return true if this instance is a home of no group and holds no shares
    bool has_left() const { return m_hosted_groups.empty(); }

    /// Closes every gateway.
    void close();

    coordination::home_table const& table() const { return m_table; }
    std::shared_ptr<state::catalogue const> const& catalogue() const
    {
        return m_catalogue;
    }
    write_pause_control& write_pauses() { return m_pauses; }

private:
    struct hosted_group
    {
        std::shared_ptr<group_control> m_control;
        std::optional<state::time_point> m_retire_deadline;
        std::vector<std::string> m_homes;
        state::time_point m_last_switchover_request{};
        bool m_gateway_closed = false;  ///< it may still hold shares
        bool m_shares_returned = false; ///< and the gateway has left the ledger
    };

    void reconcile();
    void update(state::group_description const& group,
                std::vector<std::string> const& homes);
    std::shared_ptr<group_control>
    make_control(state::group_description const& group);
    /// Posts a function to the control thread; it is skipped if this is no
    /// longer a home of the group by then.
    void post_to_group(std::string const& group,
                       std::function<void(group_control&)> run);
    void set_limits(hosted_group& hosted,
                    state::group_description const& group);
    void retire(std::string const& group, hosted_group& hosted,
                state::time_point now);
    void tick_shares(hosted_group& hosted, state::time_point now);
    bool finish_retirement(hosted_group& hosted, state::time_point now) const;
    void tick(std::string const& group, hosted_group& hosted,
              state::time_point now);

    home_settings const m_settings;
    home_registry& m_registry;
    std::shared_ptr<control_loop> m_loop;
    write_pause_control m_pauses;
    ledger_control m_ledgers;
    std::shared_ptr<state::catalogue const> m_catalogue;
    coordination::home_table m_table;
    std::map<std::string, hosted_group, std::less<>> m_hosted_groups;
    state::time_point const m_start_time = state::clock::now();
    bool m_view_settled = false;       ///< view_settle_time has passed
    std::uint64_t m_monitor_count = 0; ///< makes proposers unique
};

} // namespace camphortide::transport
