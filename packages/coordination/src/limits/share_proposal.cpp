#include <algorithm>
#include <utility>

#include <camphortide/coordination/limits/share_proposal.hpp>

namespace camphortide::coordination
{

namespace
{

/// Returns true if a demand changed enough to be written to the ledger.
bool exceeds_hysteresis(std::int64_t wanted, std::int64_t written)
{
    constexpr std::int64_t rise_divisor = 4;
    constexpr std::int64_t fall_divisor = 2;
    auto const rise = std::max<std::int64_t>(1, written / rise_divisor);
    auto const fall = std::max<std::int64_t>(2, written / fall_divisor);
    return wanted >= written + rise || wanted <= written - fall;
}

share_demand demand(share_home_state const& home, share_key const& key)
{
    auto const found = home.m_demands.find(key);
    return found == home.m_demands.end() ? share_demand{} : found->second;
}

void apply_limits(share_ledger& ledger, share_home_state const& home)
{
    if (home.m_limits_version <= ledger.m_limits_version)
    {
        return;
    }
    std::vector<divided_limit> limits;
    limits.reserve(home.m_limits.size());
    for (auto const& limit : home.m_limits)
    {
        auto const* const existing = ledger.find(limit.m_key);
        auto kept = existing != nullptr ? existing->m_shares
                                        : std::vector<held_share>{};
        limits.push_back({limit.m_key, limit.m_limit, std::move(kept)});
    }
    ledger.m_limits_version = home.m_limits_version;
    ledger.m_limits = std::move(limits);
}

void retire_gone_holders(share_ledger& ledger, share_home_state const& home)
{
    if (home.m_isolated)
    {
        return;
    }
    for (auto const& gone : home.m_gone)
    {
        if (gone != home.m_self && ledger.holds(gone) && !ledger.retired(gone))
        {
            ledger.m_last_retirement += 1;
            ledger.m_retired.push_back({gone, ledger.m_last_retirement});
        }
    }
}

void remove_shares(share_ledger& ledger, holder_id const& holder)
{
    for (auto& limit : ledger.m_limits)
    {
        std::erase_if(limit.m_shares, [&holder](held_share const& share)
                      { return share.m_holder == holder; });
    }
}

void release_retired(share_ledger& ledger, share_home_state const& home,
                     std::vector<std::uint64_t> const& due)
{
    auto const is_due = [&home, &due](retired_holder const& retired)
    {
        return retired.m_holder != home.m_self &&
               std::find(due.begin(), due.end(), retired.m_number) != due.end();
    };
    for (auto const& retired : ledger.m_retired)
    {
        if (is_due(retired))
        {
            remove_shares(ledger, retired.m_holder);
        }
    }
    std::erase_if(ledger.m_retired, is_due);
}

void release_own_share(divided_limit& limit, share_home_state const& home)
{
    auto* const own = limit.find(home.m_self);
    if (own == nullptr)
    {
        return;
    }
    own->m_wanted = 0;
    own->m_amount = std::min(own->m_amount, demand(home, limit.m_key).m_in_use);
    if (own->m_amount == 0)
    {
        limit.m_shares.erase(limit.m_shares.begin() +
                             (own - limit.m_shares.data()));
    }
}

held_share& find_or_add_share(divided_limit& limit,
                              share_home_state const& home)
{
    if (auto* const own = limit.find(home.m_self))
    {
        return *own;
    }
    held_share const added{home.m_self, 0, demand(home, limit.m_key).m_wanted};
    auto const position =
        std::lower_bound(limit.m_shares.begin(), limit.m_shares.end(), added);
    return *limit.m_shares.insert(position, added);
}

/// The limit on a home's own share while other homes of the group are not in
/// the ledger yet: leaves their parts free.
std::int64_t max_share(share_ledger const& ledger, divided_limit const& limit,
                       share_home_state const& home)
{
    auto const holders =
        std::count_if(limit.m_shares.begin(), limit.m_shares.end(),
                      [&ledger](held_share const& share)
                      { return !ledger.retired(share.m_holder); });
    bool const complete = holders >= home.m_homes;
    return complete ? limit.m_limit
                    : std::max<std::int64_t>(1, limit.m_limit / home.m_homes);
}

void adjust_own_share(share_ledger const& ledger, divided_limit const& limit,
                      share_home_state const& home, held_share& own)
{
    auto const target = std::min(target_share(ledger, limit, home.m_self),
                                 max_share(ledger, limit, home));
    auto const free = std::max(limit.free(), std::int64_t{0});
    auto const min_amount =
        std::min(own.m_amount, demand(home, limit.m_key).m_in_use);
    own.m_amount = target > own.m_amount ? std::min(target, own.m_amount + free)
                                         : std::max(target, min_amount);
}

} // namespace

share_ledger propose_shares(share_ledger const& ledger,
                            share_home_state const& home,
                            std::vector<std::uint64_t> const& due,
                            bool rebalance)
{
    auto proposed = ledger;
    apply_limits(proposed, home);
    retire_gone_holders(proposed, home);
    release_retired(proposed, home, due);
    std::erase_if(proposed.m_retired, [&home](retired_holder const& retired)
                  { return retired.m_holder == home.m_self; });
    for (auto& limit : proposed.m_limits)
    {
        if (home.m_leaving)
        {
            release_own_share(limit, home);
            continue;
        }
        auto& own = find_or_add_share(limit, home);
        auto const wanted = demand(home, limit.m_key).m_wanted;
        if (rebalance && exceeds_hysteresis(wanted, own.m_wanted))
        {
            own.m_wanted = wanted;
        }
        adjust_own_share(proposed, limit, home, own);
    }
    return proposed;
}

} // namespace camphortide::coordination
