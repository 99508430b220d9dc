#include <utility>

#include <camphortide/transport/instance/home_registry.hpp>

namespace camphortide::transport
{

namespace
{

using gateway_map =
    std::map<std::string, std::shared_ptr<group_gateway>, std::less<>>;

/// @return the gateway of a group; null if there is none
std::shared_ptr<group_gateway> find_in(gateway_map const& gateways,
                                       std::string_view group)
{
    auto const found = gateways.find(group);
    return found == gateways.end() ? nullptr : found->second;
}

/// Removes the gateway of a group from a map.
/// @return the gateway; null if there was none
std::shared_ptr<group_gateway> extract(gateway_map& gateways,
                                       std::string const& group)
{
    auto const node = gateways.extract(group);
    return node ? node.mapped() : nullptr;
}

} // namespace

std::shared_ptr<group_gateway> home_registry::find(std::string_view group) const
{
    std::shared_lock const lock(m_mutex);
    return find_in(m_gateways, group);
}

std::vector<std::string> home_registry::homes_of(std::string_view group) const
{
    std::shared_lock const lock(m_mutex);
    auto const found = m_homes.find(group);
    return found == m_homes.end() ? std::vector<std::string>() : found->second;
}

std::vector<std::shared_ptr<group_gateway>> home_registry::all() const
{
    std::shared_lock const lock(m_mutex);
    std::vector<std::shared_ptr<group_gateway>> result;
    for (auto const& [group, gateway] : m_gateways)
    {
        result.push_back(gateway);
    }
    return result;
}

void home_registry::set(std::shared_ptr<group_gateway> gateway)
{
    std::unique_lock const lock(m_mutex);
    auto const name = gateway->name();
    m_gateways[name] = std::move(gateway);
}

void home_registry::erase(std::string const& group)
{
    std::shared_ptr<group_gateway> removed; // freed without the lock
    std::unique_lock const lock(m_mutex);
    removed = extract(m_gateways, group);
}

void home_registry::retire(std::string const& group)
{
    std::shared_ptr<group_gateway> removed; // freed without the lock
    std::unique_lock const lock(m_mutex);
    if (auto gateway = extract(m_gateways, group))
    {
        removed = std::exchange(m_retired[group], std::move(gateway));
    }
}

void home_registry::erase_retired(std::string const& group)
{
    std::shared_ptr<group_gateway> removed; // freed without the lock
    std::unique_lock const lock(m_mutex);
    removed = extract(m_retired, group);
}

std::shared_ptr<group_gateway>
home_registry::find_for_transaction(std::string_view group) const
{
    std::shared_lock const lock(m_mutex);
    auto retired = find_in(m_retired, group);
    return retired ? retired : find_in(m_gateways, group);
}

void home_registry::set_homes(
    std::map<std::string, std::vector<std::string>, std::less<>> homes)
{
    std::unique_lock const lock(m_mutex);
    m_homes = std::move(homes);
}

} // namespace camphortide::transport
