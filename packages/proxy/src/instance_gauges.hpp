#pragma once

#include <vector>

#include <camphortide/proxy/fleet_control.hpp>
#include <camphortide/proxy/replacement_control.hpp>
#include <camphortide/proxy/traffic.hpp>
#include <camphortide/transport/metrics/metrics_text.hpp>

namespace camphortide::proxy
{

/// @return the gauges of the sessions, members and reads; called on the traffic
///     thread
std::vector<transport::gauge_sample> traffic_gauges(traffic const& source);

/// @return the gauges of the store updates; called on the control thread
std::vector<transport::gauge_sample> update_gauges(fleet_control const& source);

/// @return the gauges of the replacement of primaries; called on the control
///     thread
std::vector<transport::gauge_sample>
replacement_gauges(replacement_control const& source);

} // namespace camphortide::proxy
