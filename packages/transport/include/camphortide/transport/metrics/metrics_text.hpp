#pragma once

#include <compare>
#include <span>
#include <string>
#include <vector>

#include <camphortide/transport/metrics/metrics_snapshot.hpp>

namespace camphortide::transport
{

/// A name and value that tell figures of one kind apart.
struct metric_label
{
    std::string m_name;
    std::string m_value;

    friend auto operator<=>(metric_label const&, metric_label const&) = default;
};

/// A figure that may go up and down, as a member's connections.
struct gauge_sample
{
    std::string m_name; ///< with the unit, without the project's prefix
    std::string m_help;
    std::vector<metric_label> m_labels;
    double m_value = 0;

    friend auto operator<=>(gauge_sample const&, gauge_sample const&) = default;
};

/// Writes metrics as a text page in Prometheus's exposition format. Times are
/// in seconds, as its users expect.
/// @param classes the metrics by owner and class
/// @param gauges further figures
/// @return the page
std::string metrics_text(metrics_snapshot const& classes,
                         std::span<gauge_sample const> gauges);

} // namespace camphortide::transport
