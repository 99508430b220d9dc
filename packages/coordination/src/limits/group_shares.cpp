#include <algorithm>
#include <utility>

#include <camphortide/coordination/limits/group_shares.hpp>

namespace camphortide::coordination
{

namespace
{

/// A home requests at least an even part of a limit, divided by this.
constexpr std::int64_t min_demand_divisor = 2;

} // namespace

group_shares::group_shares(holder_id self, share_timing timing, double jitter)
    : m_manager(std::move(self), timing, jitter)
{
}

void group_shares::set_group(std::uint64_t version, std::size_t homes,
                             std::span<member_connections const> members,
                             std::span<entry_limits const> entries)
{
    std::vector<share_limit> limits;
    for (auto const& member : members)
    {
        limits.push_back(
            {{share_kind::connections, member.m_member}, member.m_limit});
    }
    std::map<std::string, limit_share, std::less<>> kept;
    for (auto const& entry : entries)
    {
        auto existing = m_entries.extract(entry.m_name);
        auto share =
            existing ? std::move(existing.mapped()) : limit_share(entry);
        share.set_limits(entry);
        auto const limits_to_divide = share.limits_to_divide();
        limits.insert(limits.end(), limits_to_divide.begin(),
                      limits_to_divide.end());
        kept.emplace(entry.m_name, std::move(share));
    }
    m_entries = std::move(kept);
    m_manager.set_homes(
        static_cast<std::int64_t>(std::max<std::size_t>(1, homes)));
    m_min_demand.clear();
    auto const min_parts =
        min_demand_divisor *
        static_cast<std::int64_t>(std::max<std::size_t>(1, homes));
    for (auto const& limit : limits)
    {
        m_min_demand[limit.m_key] = limit.m_limit / min_parts;
    }
    m_manager.set_limits(version, std::move(limits));
}

void group_shares::arrived(std::string_view entry)
{
    auto const found = m_entries.find(entry);
    if (found != m_entries.end())
    {
        found->second.arrived();
    }
}

void group_shares::observe(std::string_view entry, admission_load const& load,
                           state::time_point now)
{
    auto const found = m_entries.find(entry);
    if (found == m_entries.end())
    {
        return;
    }
    auto& share = found->second;
    share.observe(load, now);
    set_demand(share.rate_key(), share.rate_demand());
    set_demand(share.concurrency_key(), share.concurrency_demand());
}

void group_shares::observe_member(std::string_view member, std::int64_t wanted,
                                  std::int64_t in_use)
{
    set_demand({share_kind::connections, std::string(member)},
               {wanted, in_use});
}

void group_shares::set_demand(share_key const& key, share_demand demand)
{
    auto const min_demand = m_min_demand.find(key);
    if (min_demand != m_min_demand.end())
    {
        demand.m_wanted = std::max(demand.m_wanted, min_demand->second);
    }
    m_manager.set_demand(key, demand);
}

std::vector<entry_limits>
group_shares::local_entries(state::time_point now) const
{
    std::vector<entry_limits> entries;
    entries.reserve(m_entries.size());
    for (auto const& [name, share] : m_entries)
    {
        entries.push_back(share.local_limits(
            m_manager.allowance(share.rate_key(), now),
            m_manager.allowance(share.concurrency_key(), now)));
    }
    return entries;
}

share_allowance group_shares::connections(std::string_view member,
                                          state::time_point now) const
{
    return m_manager.allowance({share_kind::connections, std::string(member)},
                               now);
}

} // namespace camphortide::coordination
