#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <vector>

#include <camphortide/coordination/limits/share_ledger.hpp>

namespace camphortide::coordination
{

/// A limit as the catalogue or a member states it.
struct share_limit
{
    share_key m_key;
    std::int64_t m_limit = 0;

    friend auto operator<=>(share_limit const&, share_limit const&) = default;
};

/// What a home asks for and uses of a limit.
struct share_demand
{
    std::int64_t m_wanted = 0;
    std::int64_t m_in_use = 0; ///< can't be given back yet

    friend auto operator<=>(share_demand const&, share_demand const&) = default;
};

/// What a home knows besides the ledger.
struct share_home_state
{
    holder_id m_self;
    std::uint64_t m_limits_version = 0; ///< of the catalogue
    std::vector<share_limit> m_limits;  ///< sorted by key
    std::map<share_key, share_demand> m_demands;
    std::vector<holder_id> m_gone; ///< in its view
    std::int64_t m_homes = 1;      ///< of the group, in its view
    bool m_isolated = false;       ///< hears from less than a majority
    bool m_leaving = false;

    friend auto operator<=>(share_home_state const&,
                            share_home_state const&) = default;
};

/// Works out the ledger as a home wants it: newer limits put in, holders that
/// are gone retired, retired ones released that can't use their shares any
/// more, and its own shares raised or lowered towards target_share().
/// @param ledger the ledger as it is
/// @param home what the home knows
/// @param due numbers of the retirements whose holders can't use their shares
/// @param rebalance whether the home may change what it states as wanted
/// @return the ledger to write; equal to the present one if all is well
share_ledger propose_shares(share_ledger const& ledger,
                            share_home_state const& home,
                            std::vector<std::uint64_t> const& due,
                            bool rebalance);

} // namespace camphortide::coordination
