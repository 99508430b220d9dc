#include <mutex>

#include <camphortide/transport/metrics/metrics_registry.hpp>

namespace camphortide::transport
{

class_metrics& metrics_registry::of(std::string_view owner,
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
    auto& made = m_owners[std::string(owner)][std::string(name)];
    if (!made)
    {
        made = std::make_unique<class_metrics>(std::string(owner),
                                               std::string(name));
    }
    return *made;
}

metrics_snapshot metrics_registry::snapshot() const
{
    metrics_snapshot taken;
    std::shared_lock const lock(m_mutex);
    for (auto const& [owner, of_owner] : m_owners)
    {
        for (auto const& [name, metrics] : of_owner)
        {
            taken.push_back(metrics->snapshot());
        }
    }
    return taken;
}

class_metrics* metrics_registry::find(std::string_view owner,
                                      std::string_view name) const
{
    auto const of_owner = m_owners.find(owner);
    if (of_owner == m_owners.end())
    {
        return nullptr;
    }
    auto const found = of_owner->second.find(name);
    return found == of_owner->second.end() ? nullptr : found->second.get();
}

} // namespace camphortide::transport
