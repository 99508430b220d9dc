#include <algorithm>

#include <camphortide/coordination/limits/fair_schedule.hpp>

namespace camphortide::coordination
{

void fair_schedule::set_flow(flow_id id, std::string const& customer,
                             std::uint32_t priority, std::uint32_t weight)
{
    if (id >= m_flows.size())
    {
        m_flows.resize(std::size_t{id} + 1);
    }
    auto& updated = m_flows[id];
    auto const new_customer = customer_id_for(customer);
    if (updated.m_customer != new_customer || updated.m_priority != priority)
    {
        updated.m_start = 0;
    }
    updated.m_customer = new_customer;
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
    auto& customer = level.m_customers[activated.m_customer];
    if (customer.m_active.empty())
    {
        customer.m_start =
            std::max(customer.m_start, level.m_virtual_time - m_max_credit);
        level.m_active.emplace(customer.m_start, activated.m_customer);
    }
    activated.m_start =
        std::max(activated.m_start,
                 customer.m_virtual_time - m_max_credit / activated.m_weight);
    activated.m_active = true;
    customer.m_weight += activated.m_weight;
    customer.m_active.emplace(activated.m_start, id);
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
    auto& customer = level.m_customers[removed.m_customer];
    removed.m_active = false;
    customer.m_weight -= removed.m_weight;
    customer.m_active.erase({removed.m_start, id});
    if (customer.m_active.empty())
    {
        level.m_active.erase({customer.m_start, removed.m_customer});
    }
}

std::optional<fair_schedule::flow_id> fair_schedule::next() const
{
    for (auto const& [priority, level] : m_levels)
    {
        if (!level.m_active.empty())
        {
            auto const customer = level.m_active.begin()->second;
            return level.m_customers.at(customer).m_active.begin()->second;
        }
    }
    return std::nullopt;
}

void fair_schedule::charge(flow_id id, double cost)
{
    auto& served = m_flows[id];
    auto& level = m_levels[served.m_priority];
    auto& customer = level.m_customers[served.m_customer];

    customer.m_active.erase({served.m_start, id});
    customer.m_virtual_time = std::max(customer.m_virtual_time, served.m_start);
    served.m_start += cost / served.m_weight;
    customer.m_active.emplace(served.m_start, id);

    level.m_active.erase({customer.m_start, served.m_customer});
    level.m_virtual_time = std::max(level.m_virtual_time, customer.m_start);
    customer.m_start += cost;
    level.m_active.emplace(customer.m_start, served.m_customer);
}

double fair_schedule::share(flow_id id) const
{
    auto const& current = m_flows[id];
    auto const level = m_levels.find(current.m_priority);
    if (level == m_levels.end())
    {
        return 1;
    }
    auto const customer = level->second.m_customers.find(current.m_customer);
    bool const has_customer = customer != level->second.m_customers.end();
    bool const customer_active =
        has_customer && !customer->second.m_active.empty();
    auto const customer_count =
        level->second.m_active.size() + (customer_active ? 0U : 1U);
    double const other_weight = (has_customer ? customer->second.m_weight : 0) -
                                (current.m_active ? current.m_weight : 0);
    return current.m_weight / (current.m_weight + std::max(other_weight, 0.0)) /
           static_cast<double>(customer_count);
}

fair_schedule::customer_id
fair_schedule::customer_id_for(std::string const& customer)
{
    auto const next = static_cast<customer_id>(m_customers.size());
    return m_customers.try_emplace(customer, next).first->second;
}

} // namespace camphortide::coordination
