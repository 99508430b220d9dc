#include <mutex>

#include <camphortide/transport/metrics/metrics_registry.hpp>

namespace camphortide::transport
{

class_metrics& metrics_registry::find_or_create(std::string_view owner,
                                                std::string_view name)
{
    {
        std::shared_lock const lock(m_mutex);
        if (auto* const found = find(owner, name))
        {
            return *found;
        }
    }
    std::scoped_lock const lock(m_mutex);
    auto& metrics = m_owners[std::string(owner)][std::string(name)];
    if (!metrics)
    {
        metrics = std::make_unique<class_metrics>(std::string(owner),
                                                  std::string(name));
    }
    return *metrics;
}

metrics_snapshot metrics_registry::snapshot() const
{
    metrics_snapshot result;
    std::shared_lock const lock(m_mutex);
    for (auto const& [owner, owner_classes] : m_owners)
    {
        for (auto const& [name, metrics] : owner_classes)
        {
            result.push_back(metrics->snapshot());
        }
    }
    return result;
}

class_metrics* metrics_registry::find(std::string_view owner,
                                      std::string_view name) const
{
    auto const owner_entry = m_owners.find(owner);
    if (owner_entry == m_owners.end())
    {
        return nullptr;
    }
    auto const found = owner_entry->second.find(name);
    return found == owner_entry->second.end() ? nullptr : found->second.get();
}

} // namespace camphortide::transport
