#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <camphortide/coordination/limits/holder_monitor.hpp>
#include <camphortide/transport/gateway/group_gateway.hpp>
#include <camphortide/transport/instance/control_loop.hpp>
#include <camphortide/transport/platform/platform_client.hpp>

namespace camphortide::transport
{

/// Keeps the ledgers of the groups that are at home here: tells the gateways
/// who is gone, and carries their calls to the store out. On the control
/// thread.
class ledger_control
{
public:
    /// @param self this process
    /// @param leave_time after which an instance that leaves has ended
    /// @param platform the store; null if there is none
    ledger_control(coordination::holder_id self, state::duration max_leave_time,
                   platform_client* platform,
                   std::shared_ptr<control_loop> loop);

    /// @return true if there is a store to share by
    bool has_store() const { return m_platform != nullptr; }

    /// Makes a new gateway a holder of its own.
    void assign_holder(group_gateway& gateway);

    /// Takes a view of the instances.
    void on_view(std::vector<state::instance_record> const& view,
                 state::time_point now)
    {
        m_holder_monitor.set_view(view, now);
    }

    /// Takes in that a majority of the instances was heard from.
    /// @param asked_at a time before they were asked; nothing if there was none
    /// @param complete false while instances may be missing from the view
    void set_contact(std::optional<state::time_point> requested_at,
                     bool complete)
    {
        m_last_contact = requested_at;
        m_holder_monitor.set_complete(complete);
    }

    /// Does what is due for a gateway.
    /// @param leaves true if it has to give its shares back
    /// @return true once it left and holds nothing
    bool tick(std::shared_ptr<group_gateway> const& gateway, bool leaving,
              state::time_point now);

private:
    void start_call(std::shared_ptr<group_gateway> const& gateway,
                    coordination::ledger_call const& call);

    coordination::holder_id const m_self;
    platform_client* const m_platform;
    std::shared_ptr<control_loop> m_loop;
    coordination::holder_monitor m_holder_monitor;
    std::optional<state::time_point> m_last_contact;
    /// gateways made so far for each group: each is a holder of its own
    std::map<std::string, std::uint64_t, std::less<>> m_gateway_counts;
};

} // namespace camphortide::transport
