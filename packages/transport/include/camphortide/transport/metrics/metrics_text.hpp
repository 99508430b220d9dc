#pragma once

#include <compare>
#include <span>
#include <string>
#include <vector>

#include <camphortide/transport/metrics/metrics_snapshot.hpp>

namespace camphortide::transport
{

/// A label of a metric: a name and a value.
struct metric_label
{
    std::string m_name;
    std::string m_value;

    friend auto operator<=>(metric_label const&, metric_label const&) = default;
};

/// A sample of a gauge, such as the number of connections to a member.
struct gauge_sample
{
    std::string m_name; ///< with the unit, without "camphortide_"
    std::string m_help;
    std::vector<metric_label> m_labels;
    double m_value = 0;

    friend auto operator<=>(gauge_sample const&, gauge_sample const&) = default;
};

/// Formats metrics in the Prometheus text exposition format. Times are in
/// seconds, as is the convention of Prometheus.
/// @param classes the metrics by customer and class
/// @param gauges additional gauges
/// @return the page
std::string metrics_text(metrics_snapshot const& classes,
                         std::span<gauge_sample const> gauges);

} // namespace camphortide::transport
