#include <algorithm>

#include <camphortide/coordination/limits/fair_schedule.hpp>

namespace camphortide::coordination
{

void fair_schedule::set_flow(flow_id id, std::string const& owner,
                             std::uint32_t priority, std::uint32_t weight)
{
    if (id >= m_flows.size())
    {
        m_flows.resize(std::size_t{id} + 1);
    }
    auto& updated = m_flows[id];
    auto const new_owner = owner_id_for(owner);
    if (updated.m_owner != new_owner || updated.m_priority != priority)
    {
        updated.m_start = 0;
    }
    updated.m_owner = new_owner;
    updated.m_priority = priority;
    updated.m_weight = std::max<double>(weight, 1);
}

void fair_schedule::activate(flow_id id)
{
    auto& activated = m_flows[id];
    if (activated.m_active)
    {
        return;
    }
    auto& level = m_levels[activated.m_priority];
    auto& owner = level.m_owners[activated.m_owner];
    if (owner.m_active.empty())
    {
        owner.m_start =
            std::max(owner.m_start, level.m_virtual_time - m_max_credit);
        level.m_active.emplace(owner.m_start, activated.m_owner);
    }
    activated.m_start =
        std::max(activated.m_start,
                 owner.m_virtual_time - m_max_credit / activated.m_weight);
    activated.m_active = true;
    owner.m_weight += activated.m_weight;
    owner.m_active.emplace(activated.m_start, id);
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
    auto& level = m_levels[removed.m_priority];
    auto& owner = level.m_owners[removed.m_owner];
    removed.m_active = false;
    owner.m_weight -= removed.m_weight;
    owner.m_active.erase({removed.m_start, id});
    if (owner.m_active.empty())
    {
        level.m_active.erase({owner.m_start, removed.m_owner});
    }
}

std::optional<fair_schedule::flow_id> fair_schedule::next() const
{
    for (auto const& [priority, level] : m_levels)
    {
        if (!level.m_active.empty())
        {
            auto const owner = level.m_active.begin()->second;
            return level.m_owners.at(owner).m_active.begin()->second;
        }
    }
    return std::nullopt;
}

void fair_schedule::charge(flow_id id, double cost)
{
    auto& served = m_flows[id];
    auto& level = m_levels[served.m_priority];
    auto& owner = level.m_owners[served.m_owner];

    owner.m_active.erase({served.m_start, id});
    owner.m_virtual_time = std::max(owner.m_virtual_time, served.m_start);
    served.m_start += cost / served.m_weight;
    owner.m_active.emplace(served.m_start, id);

    level.m_active.erase({owner.m_start, served.m_owner});
    level.m_virtual_time = std::max(level.m_virtual_time, owner.m_start);
    owner.m_start += cost;
    level.m_active.emplace(owner.m_start, served.m_owner);
}

double fair_schedule::share(flow_id id) const
{
    auto const& current = m_flows[id];
    auto const level = m_levels.find(current.m_priority);
    if (level == m_levels.end())
    {
        return 1;
    }
    auto const owner = level->second.m_owners.find(current.m_owner);
    bool const has_owner = owner != level->second.m_owners.end();
    bool const owner_active = has_owner && !owner->second.m_active.empty();
    auto const owner_count =
        level->second.m_active.size() + (owner_active ? 0U : 1U);
    double const other_weight = (has_owner ? owner->second.m_weight : 0) -
                                (current.m_active ? current.m_weight : 0);
    return current.m_weight / (current.m_weight + std::max(other_weight, 0.0)) /
           static_cast<double>(owner_count);
}

fair_schedule::owner_id fair_schedule::owner_id_for(std::string const& owner)
{
    auto const next = static_cast<owner_id>(m_owners.size());
    return m_owners.try_emplace(owner, next).first->second;
}

} // namespace camphortide::coordination
