#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include <camphortide/coordination/limits/group_shares.hpp>
#include <camphortide/transport/gateway/group_core.hpp>
#include <camphortide/transport/gateway/transaction_service.hpp>

namespace camphortide::transport
{

/// Applies this home's shares of a group's limits to its admission and its
/// connections. Guarded by the gateway's mutex.
class share_control
{
public:
    /// @param slots number of slots of each member
    share_control(group_core& core, transaction_service& transactions,
                  std::uint32_t slots);

    /// Sets the limits of a home that shares them with no other home.
    /// @param connections maximum number of connections to each member
    void set_fixed(std::size_t connections,
                   std::vector<coordination::entry_limits> entries);

    /// Sets this home's identity in the ledger. The home has no share at first.
    /// @param jitter a value in [0, 1) that differs between homes
    void set_holder(coordination::holder_id self, double jitter);

    /// Updates the limits for the whole system. Does nothing before
    /// set_holder().
    /// @param version version of the catalogue
    /// @param homes number of homes of the group, in this home's view
    /// @param connections number of connections that each member accepts
    void set_group(std::uint64_t version, std::size_t homes,
                   std::size_t connections,
                   std::vector<coordination::entry_limits> entries);

    /// Records the arrival of a request. Applies the shares first if they were
    /// not applied recently.
    void arrived(std::string_view entry);

    /// @return true if this home has no share of a limit that the request
    ///     requires, while another home may have one
    bool lacks_share(std::string_view entry,
                     coordination::slot_class requested) const;

    /// Updates the admission's capacity after the primary or the connections
    /// changed.
    void set_capacity();

    /// Observes the load, applies the shares, and determines the next call to
    /// the ledger.
    /// @return the call, if one is due
    std::optional<coordination::ledger_call> step();

    /// Records that the homes of the group changed. Their shares will change
    /// too, so the ledger is read more often for a while.
    void homes_changed();

    /// Makes the next step() run without waiting for the observation interval.
    void request_step() { m_step_requested = true; }

    /// @return the share manager; null if this home shares with no other home
    coordination::share_manager* manager();

private:
    void observe();
    void reread_ledger();
    void apply();
    void apply_entries(std::vector<coordination::entry_limits> entries);
    bool lacks_connections(coordination::slot_class requested) const;

    group_core& m_core;
    transaction_service& m_transactions;
    std::uint32_t const m_slots;
    std::optional<coordination::group_shares> m_shares;
    std::map<std::string, coordination::entry_limits, std::less<>>
        m_system_limits;
    /// This home's limits, in force.
    std::vector<coordination::entry_limits> m_local_limits;
    std::size_t m_connections = 0; ///< maximum for each member
    state::time_point m_next_observation;
    state::time_point m_applied;
    bool m_step_requested = true;
    state::time_point m_rebalance_until;  ///< end of the more frequent reads
    state::time_point m_next_ledger_read; ///< while reads are more frequent
};

} // namespace camphortide::transport
