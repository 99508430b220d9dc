#pragma once

#include <memory>
#include <vector>

#include <camphortide/state/catalogue.hpp>
#include <camphortide/transport/metrics/metrics_registry.hpp>

namespace camphortide::transport
{

/// A catalogue in force together with the metrics of its entries, so that a
/// request finds the metrics of its class without a lock. Immutable.
class served_catalogue
{
public:
    /// @param entries the catalogue in force; not null
    /// @param metrics outlives this and every request in progress
    served_catalogue(std::shared_ptr<state::catalogue const> entries,
                     metrics_registry& metrics);

    /// @return the catalogue; not null
    std::shared_ptr<state::catalogue const> const& entries() const
    {
        return m_entries;
    }

    /// @param entry an element of entries()->entries()
    /// @return the metrics of its customer's class; valid for the registry's
    ///     lifetime
    class_metrics& metrics_of(state::catalogue_entry const& entry) const;

private:
    std::shared_ptr<state::catalogue const> m_entries;
    std::vector<class_metrics*> m_metrics; ///< in the order of the entries
};

} // namespace camphortide::transport
