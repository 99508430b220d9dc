#include <algorithm>
#include <numeric>

#include <camphortide/coordination/limits/share_ledger.hpp>

namespace camphortide::coordination
{

namespace
{

/// Divides an amount by max-min fairness; no part exceeds what is wanted.
/// @return the remaining amount
std::int64_t allocate_max_min(std::vector<std::int64_t>& parts,
                              std::vector<std::int64_t> const& wanted,
                              std::int64_t amount)
{
    std::vector<std::size_t> order(wanted.size());
    std::iota(order.begin(), order.end(), std::size_t{0});
    std::stable_sort(order.begin(), order.end(),
                     [&wanted](std::size_t a, std::size_t b)
                     { return wanted[a] < wanted[b]; });
    auto remaining = static_cast<std::int64_t>(order.size());
    for (auto const index : order)
    {
        auto const even = (amount + remaining - 1) / remaining;
        auto const granted = std::clamp(wanted[index], std::int64_t{0}, even);
        parts[index] += granted;
        amount -= granted;
        remaining -= 1;
    }
    return amount;
}

/// Adds an amount in even parts; the first parts get the units that remain.
void distribute_evenly(std::vector<std::int64_t>& parts, std::int64_t amount)
{
    auto const count = static_cast<std::int64_t>(parts.size());
    auto remainder = amount % count;
    for (auto& part : parts)
    {
        part += amount / count + (remainder > 0 ? 1 : 0);
        remainder -= 1;
    }
}

} // namespace

std::int64_t divided_limit::free() const
{
    auto const add = [](std::int64_t sum, held_share const& share)
    {
        return sum + share.m_amount;
    };
    return m_limit - std::accumulate(m_shares.begin(), m_shares.end(),
                                     std::int64_t{0}, add);
}

held_share const* divided_limit::find(holder_id const& holder) const
{
    auto const found = std::find_if(m_shares.begin(), m_shares.end(),
                                    [&holder](held_share const& share)
                                    { return share.m_holder == holder; });
    return found == m_shares.end() ? nullptr : &*found;
}

held_share* divided_limit::find(holder_id const& holder)
{
    auto const found = std::find_if(m_shares.begin(), m_shares.end(),
                                    [&holder](held_share const& share)
                                    { return share.m_holder == holder; });
    return found == m_shares.end() ? nullptr : &*found;
}

divided_limit const* share_ledger::find(share_key const& key) const
{
    auto const found =
        std::lower_bound(m_limits.begin(), m_limits.end(), key,
                         [](divided_limit const& limit, share_key const& k)
                         { return limit.m_key < k; });
    bool const found_key = found != m_limits.end() && found->m_key == key;
    return found_key ? &*found : nullptr;
}

bool share_ledger::retired(holder_id const& holder) const
{
    return std::any_of(m_retired.begin(), m_retired.end(),
                       [&holder](retired_holder const& each)
                       { return each.m_holder == holder; });
}

bool share_ledger::holds(holder_id const& holder) const
{
    return std::any_of(m_limits.begin(), m_limits.end(),
                       [&holder](divided_limit const& limit)
                       { return limit.find(holder) != nullptr; });
}

std::int64_t target_share(share_ledger const& ledger,
                          divided_limit const& limit, holder_id const& holder)
{
    std::int64_t available = limit.m_limit;
    std::vector<std::int64_t> wanted;
    std::size_t own = limit.m_shares.size();
    for (auto const& share : limit.m_shares)
    {
        if (ledger.retired(share.m_holder))
        {
            available -= share.m_amount;
            continue;
        }
        own = share.m_holder == holder ? wanted.size() : own;
        wanted.push_back(share.m_wanted);
    }
    if (own >= wanted.size())
    {
        return 0;
    }
    std::vector<std::int64_t> parts(wanted.size(), 0);
    distribute_evenly(
        parts,
        allocate_max_min(parts, wanted, std::max(available, std::int64_t{0})));
    return parts[own];
}

} // namespace camphortide::coordination
