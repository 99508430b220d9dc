#pragma once

#include <map>
#include <memory>
#include <shared_mutex>
#include <string>
#include <string_view>

#include <camphortide/transport/metrics/class_metrics.hpp>
#include <camphortide/transport/metrics/metrics_snapshot.hpp>

namespace camphortide::transport
{

/// The metrics of all traffic classes by customer and class. Thread-safe.
class metrics_registry
{
public:
    /// Finds the metrics of a customer's class, or creates them.
    /// @return a reference that is valid as long as the registry. Code on
    ///     request paths keeps it to avoid the lookup.
    class_metrics& find_or_create(std::string_view customer,
                                  std::string_view name);

    /// @return the metrics of every class that exists in the registry
    metrics_snapshot snapshot() const;

private:
    using classes =
        std::map<std::string, std::unique_ptr<class_metrics>, std::less<>>;

    class_metrics* find(std::string_view customer, std::string_view name) const;

    mutable std::shared_mutex m_mutex;
    std::map<std::string, classes, std::less<>> m_customers;
};

} // namespace camphortide::transport
