#include <string>

#include <camphortide/standin/deployment/small_deployment_builder.hpp>

namespace camphortide::standin
{

namespace
{

constexpr char const* group_name = "loans";
constexpr char const* entry_name = "checkouts";
constexpr char const* customer_name = "desks";
constexpr std::chrono::microseconds no_delay{0};

} // namespace

small_deployment_builder& small_deployment_builder::instances(std::size_t count)
{
    m_instances = count;
    return *this;
}

small_deployment_builder&
small_deployment_builder::homes(std::optional<std::uint32_t> count)
{
    m_homes = count;
    return *this;
}

small_deployment_builder&
small_deployment_builder::members(std::uint32_t slots,
                                  std::uint32_t connections)
{
    m_slots = slots;
    m_connections = connections;
    return *this;
}

small_deployment_builder&
small_deployment_builder::receive_lag(std::chrono::microseconds lag)
{
    m_receive_lag = lag;
    return *this;
}

small_deployment_builder&
small_deployment_builder::limits(state::entry_limits const& limits)
{
    m_limits = limits;
    return *this;
}

transport::deployment small_deployment_builder::build() const
{
    transport::deployment result;
    result.m_name = "small";
    result.m_region = "serra-gaucha";
    result.m_data_centres = {"sede-centro", "ginasio-norte", "escola-leste"};
    result.m_latency_between = no_delay;
    result.m_homes_per_group = m_homes;
    for (std::size_t i = 0; i < m_instances; ++i)
    {
        auto const at = i % result.m_data_centres.size();
        result.m_instances.push_back(
            {"entry-" + std::to_string(i + 1), result.m_data_centres[at]});
    }
    result.m_groups = {make_group()};
    result.m_customers = {{customer_name, "secret"}, {"parents", "other"}};
    transport::deployment_entry entry;
    entry.m_name = entry_name;
    entry.m_customer = customer_name;
    entry.m_class_name = entry_name;
    entry.m_groups = {group_name};
    entry.m_limits = m_limits;
    result.m_entries = {entry};
    return result;
}

transport::deployment_group small_deployment_builder::make_group() const
{
    transport::deployment_group group;
    group.m_name = group_name;
    group.m_members = {
        {"a", "sede-centro"}, {"b", "ginasio-norte"}, {"c", "escola-leste"}};
    group.m_slots = m_slots.value_or(group.m_slots);
    group.m_connections = m_connections.value_or(group.m_connections);
    group.m_statement_time = no_delay;
    group.m_receive_lag = m_receive_lag.value_or(group.m_receive_lag);
    group.m_apply_lag = no_delay;
    return group;
}

} // namespace camphortide::standin
