#include <cstddef>
#include <utility>

#include <camphortide/transport/access/served_catalogue.hpp>

namespace camphortide::transport
{

served_catalogue::served_catalogue(
    std::shared_ptr<state::catalogue const> entries, metrics_registry& metrics)
    : m_entries(std::move(entries))
{
    m_metrics.reserve(m_entries->entries().size());
    for (auto const& entry : m_entries->entries())
    {
        m_metrics.push_back(
            &metrics.find_or_create(entry.m_customer, entry.m_class_name));
    }
}

class_metrics&
served_catalogue::metrics_of(state::catalogue_entry const& entry) const
{
    auto const index = &entry - m_entries->entries().data();
    return *m_metrics[static_cast<std::size_t>(index)];
}

} // namespace camphortide::transport
