#include <utility>

#include <camphortide/transport/instance/home_registry.hpp>

namespace camphortide::transport
{

std::shared_ptr<group_gateway> home_registry::find(std::string_view group) const
{
    std::shared_lock const lock(m_mutex);
    auto const found = m_gateways.find(group);
    return found == m_gateways.end() ? nullptr : found->second;
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
    std::shared_ptr<group_gateway> last;
    std::unique_lock const lock(m_mutex);
    auto const found = m_gateways.find(group);
    if (found != m_gateways.end())
    {
        last = std::move(found->second);
        m_gateways.erase(found);
    }
}

void home_registry::retire(std::string const& group)
{
    std::shared_ptr<group_gateway> last;
    std::unique_lock const lock(m_mutex);
    auto const found = m_gateways.find(group);
    if (found != m_gateways.end())
    {
        last = std::exchange(m_retired[group], std::move(found->second));
        m_gateways.erase(found);
    }
}

void home_registry::forget(std::string const& group)
{
    std::shared_ptr<group_gateway> last;
    std::unique_lock const lock(m_mutex);
    auto const found = m_retired.find(group);
    if (found != m_retired.end())
    {
        last = std::move(found->second);
        m_retired.erase(found);
    }
}

std::shared_ptr<group_gateway>
home_registry::find_open(std::string_view group) const
{
    std::shared_lock const lock(m_mutex);
    auto const found = m_retired.find(group);
    if (found != m_retired.end())
    {
        return found->second;
    }
    auto const current = m_gateways.find(group);
    return current == m_gateways.end() ? nullptr : current->second;
}

void home_registry::set_homes(
    std::map<std::string, std::vector<std::string>, std::less<>> homes)
{
    std::unique_lock const lock(m_mutex);
    m_homes = std::move(homes);
}

} // namespace camphortide::transport
