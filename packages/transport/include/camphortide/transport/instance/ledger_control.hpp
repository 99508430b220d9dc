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

/// Connects the gateways of the groups hosted here to the ledgers in the store:
/// passes the holders that are gone to them, and executes their ledger calls.
/// Used only on the control thread.
class ledger_control
{
public:
    /// @param self this process
    /// @param max_leave_time time after which a leaving instance has ended
    /// @param platform the store; null if there is none
    ledger_control(coordination::holder_id self, state::duration max_leave_time,
                   platform_client* platform,
                   std::shared_ptr<control_loop> loop);

    /// @return true if there is a store, and limits are divided by ledgers
    bool has_store() const { return m_platform != nullptr; }

    /// Gives a new gateway a holder identity of its own.
    void assign_holder(group_gateway& gateway);

    /// Updates the view of the instances.
    void on_view(std::vector<state::instance_record> const& view,
                 state::time_point now)
    {
        m_holder_monitor.set_view(view, now);
    }

    /// Records the last contact with a majority of the instances.
    /// @param requested_at a time before the requests to them were sent;
    ///     nothing if there was no contact
    /// @param complete false while instances may be missing from the view
    void set_contact(std::optional<state::time_point> requested_at,
                     bool complete)
    {
        m_last_contact = requested_at;
        m_holder_monitor.set_complete(complete);
    }

    /// Executes what is due for a gateway's shares.
    /// @param leaving true if the gateway has to return its shares
    /// @return true once the gateway has left the ledger and holds no shares;
    ///     also if there is no store
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
    /// gateways created per group; each is a separate holder
    std::map<std::string, std::uint64_t, std::less<>> m_gateway_counts;
};

} // namespace camphortide::transport
