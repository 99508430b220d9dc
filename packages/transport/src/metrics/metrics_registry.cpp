#include <mutex>

#include <camphortide/transport/metrics/metrics_registry.hpp>

namespace camphortide::transport
{

class_metrics& metrics_registry::find_or_create(std::string_view customer,
                                                std::string_view name)
{
    {
        std::shared_lock const lock(m_mutex);
        if (auto* const found = find(customer, name))
        {
            return *found;
        }
    }
    std::scoped_lock const lock(m_mutex);
    auto& metrics = m_customers[std::string(customer)][std::string(name)];
    if (!metrics)
    {
        metrics = std::make_unique<class_metrics>(std::string(customer),
                                                  std::string(name));
    }
    return *metrics;
}

metrics_snapshot metrics_registry::snapshot() const
{
    metrics_snapshot result;
    std::shared_lock const lock(m_mutex);
    for (auto const& [customer, customer_classes] : m_customers)
    {
        for (auto const& [name, metrics] : customer_classes)
        {
            result.push_back(metrics->snapshot());
        }
    }
    return result;
}

class_metrics* metrics_registry::find(std::string_view customer,
                                      std::string_view name) const
{
    auto const customer_entry = m_customers.find(customer);
    if (customer_entry == m_customers.end())
    {
        return nullptr;
    }
    auto const found = customer_entry->second.find(name);
    return found == customer_entry->second.end() ? nullptr
                                                 : found->second.get();
}

} // namespace camphortide::transport
