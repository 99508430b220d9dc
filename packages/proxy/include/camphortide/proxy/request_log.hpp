#pragma once

#include <map>
#include <string>

#include <camphortide/proxy/traffic_observer.hpp>
#include <camphortide/transport/metrics/metrics_registry.hpp>

namespace camphortide::proxy
{

/// Logs the results of statements and records them in the metrics.
class request_log
{
public:
    explicit request_log(transport::metrics_registry& metrics);

    void ended(statement_end const& end);
    void sent_again(std::string const& group, statement_request const& request,
                    std::string const& cause);

private:
    transport::metrics_registry& m_metrics;
};

} // namespace camphortide::proxy
