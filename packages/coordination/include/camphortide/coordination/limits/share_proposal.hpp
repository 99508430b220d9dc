#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <vector>

#include <camphortide/coordination/limits/share_ledger.hpp>

namespace camphortide::coordination
{

/// A limit as stated by the catalogue or by a member.
struct share_limit
{
    share_key m_key;
    std::int64_t m_limit = 0;

    friend auto operator<=>(share_limit const&, share_limit const&) = default;
};

/// What a home requests and uses of a limit.
struct share_demand
{
    std::int64_t m_wanted = 0;
    std::int64_t m_in_use = 0; ///< can't be released yet

    friend auto operator<=>(share_demand const&, share_demand const&) = default;
};

/// The state of a home besides the ledger.
struct share_home_state
{
    holder_id m_self;
    std::uint64_t m_limits_version = 0; ///< of the catalogue
    std::vector<share_limit> m_limits;  ///< sorted by key
    std::map<share_key, share_demand> m_demands;
    std::vector<holder_id> m_gone; ///< holders that are gone, in its view
    std::int64_t m_homes = 1; ///< number of homes of the group, in its view
    bool m_isolated = false;  ///< can't reach a majority of the instances
    bool m_leaving = false;

    friend auto operator<=>(share_home_state const&,
                            share_home_state const&) = default;
};

/// Computes the ledger that a home proposes: newer limits are applied, holders
/// that are gone are retired, retired holders that can no longer use their
/// shares are removed, and the home's own shares are raised or lowered towards
/// target_share().
/// @param ledger the current ledger
/// @param home the state of the home
/// @param due numbers of the retirements whose holders can no longer use their
///     shares
/// @param rebalance whether the home may change its stated demand
/// @return the ledger to write; equal to the current one if nothing needs to
///     change
share_ledger propose_shares(share_ledger const& ledger,
                            share_home_state const& home,
                            std::vector<std::uint64_t> const& due,
                            bool rebalance);

} // namespace camphortide::coordination
