#include <algorithm>

#include <camphortide/coordination/limits/fair_schedule.hpp>

namespace camphortide::coordination
{

void fair_schedule::set(flow_id id, std::string const& owner,
                        std::uint32_t priority, std::uint32_t weight)
{
    if (id >= m_flows.size())
    {
        m_flows.resize(std::size_t{id} + 1);
    }
    auto& changed = m_flows[id];
    auto const new_owner = intern(owner);
    if (changed.m_owner != new_owner || changed.m_priority != priority)
    {
        changed.m_start = 0;
    }
    changed.m_owner = new_owner;
    changed.m_priority = priority;
    changed.m_weight = std::max<double>(weight, 1);
}

void fair_schedule::activate(flow_id id)
{
    auto& added = m_flows[id];
    if (added.m_active)
    {
        return;
    }
    auto& ranked = m_levels[added.m_priority];
    auto& owner = ranked.m_owners[added.m_owner];
    if (owner.m_active.empty())
    {
        owner.m_start =
            std::max(owner.m_start, ranked.m_virtual_time - m_credit);
        ranked.m_active.emplace(owner.m_start, added.m_owner);
    }
    added.m_start = std::max(added.m_start,
                             owner.m_virtual_time - m_credit / added.m_weight);
    added.m_active = true;
    owner.m_weight += added.m_weight;
    owner.m_active.emplace(added.m_start, id);
}

void fair_schedule::deactivate(flow_id id)
{
    if (id >= m_flows.size())
    {
        return;
    }
    auto& removed = m_flows[id];
    if (!removed.m_active)
    {
        return;
    }
    auto& ranked = m_levels[removed.m_priority];
    auto& owner = ranked.m_owners[removed.m_owner];
    removed.m_active = false;
    owner.m_weight -= removed.m_weight;
    owner.m_active.erase({removed.m_start, id});
    if (owner.m_active.empty())
    {
        ranked.m_active.erase({owner.m_start, removed.m_owner});
    }
}

std::optional<fair_schedule::flow_id> fair_schedule::next() const
{
    for (auto const& [priority, ranked] : m_levels)
    {
        if (!ranked.m_active.empty())
        {
            auto const owner = ranked.m_active.begin()->second;
            return ranked.m_owners.at(owner).m_active.begin()->second;
        }
    }
    return std::nullopt;
}

void fair_schedule::charge(flow_id id, double cost)
{
    auto& served = m_flows[id];
    auto& ranked = m_levels[served.m_priority];
    auto& owner = ranked.m_owners[served.m_owner];

    owner.m_active.erase({served.m_start, id});
    owner.m_virtual_time = std::max(owner.m_virtual_time, served.m_start);
    served.m_start += cost / served.m_weight;
    owner.m_active.emplace(served.m_start, id);

    ranked.m_active.erase({owner.m_start, served.m_owner});
    ranked.m_virtual_time = std::max(ranked.m_virtual_time, owner.m_start);
    owner.m_start += cost;
    ranked.m_active.emplace(owner.m_start, served.m_owner);
}

double fair_schedule::share(flow_id id) const
{
    auto const& asked = m_flows[id];
    auto const ranked = m_levels.find(asked.m_priority);
    if (ranked == m_levels.end())
    {
        return 1;
    }
    auto const owner = ranked->second.m_owners.find(asked.m_owner);
    bool const known = owner != ranked->second.m_owners.end();
    bool const owner_active = known && !owner->second.m_active.empty();
    auto const owners =
        ranked->second.m_active.size() + (owner_active ? 0U : 1U);
    double const others = (known ? owner->second.m_weight : 0) -
                          (asked.m_active ? asked.m_weight : 0);
    return asked.m_weight / (asked.m_weight + std::max(others, 0.0)) /
           static_cast<double>(owners);
}

fair_schedule::owner_id fair_schedule::intern(std::string const& owner)
{
    auto const next = static_cast<owner_id>(m_owners.size());
    return m_owners.try_emplace(owner, next).first->second;
}

} // namespace camphortide::coordination
