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
    /// @param slots of each member
    share_control(group_core& core, transaction_service& transactions,
                  std::uint32_t slots);

    /// Sets the limits of a home that shares with no other.
    /// @param connections to each member
    void set_fixed(std::size_t connections,
                   std::vector<coordination::entry_limits> entries);

    /// Sets who this home is in the ledger. It has no share before.
    /// @param jitter in [0, 1), differs between homes
    void set_holder(coordination::holder_id self, double jitter);

    /// Takes in the limits for the whole system.
    /// @param version of the catalogue
    /// @param homes of the group, in this home's view
    /// @param connections that each member takes
    void set_group(std::uint64_t version, std::size_t homes,
                   std::size_t connections,
                   std::vector<coordination::entry_limits> entries);

    /// Takes in that a request arrives. Limits that were not looked at lately
    /// are looked at first.
    void arrived(std::string_view entry);

    /// @return true if this home has no part of a limit that the request
    ///     needs, and another home may
    bool lacks_share(std::string_view entry,
                     coordination::slot_class requested) const;

    /// Takes in what changed of the members.
    void set_capacity();

    /// Observes the load, applies the shares, and decides on the next call.
    /// @return the call, if one is due
    std::optional<coordination::ledger_call> step();

    /// Takes in that the homes of the group changed: their shares will, so
    /// the ledger is read more often for a while.
    void homes_changed();

    /// Makes the next step look at the ledger without waiting.
    void request_step() { m_step_requested = true; }

    /// @return what calls the store and hears of other homes; null if this
    ///     home shares with no other
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
    std::vector<coordination::entry_limits>
        m_local_limits;            ///< in force, by name
    std::size_t m_connections = 0; ///< of each member
    state::time_point m_next_observation;
    state::time_point m_applied;
    bool m_step_requested = true;
    state::time_point m_rebalance_until;  ///< a change of the homes
    state::time_point m_next_ledger_read; ///< at the ledger, until then
};

} // namespace camphortide::transport
