#pragma once

#include <string>

#include <camphortide/admin/v1/admin.pb.h>

namespace camphortide::command_line
{

/// @return a status as human-readable tables
std::string status_text(admin::v1::StatusReply const& status);

/// @return the histograms and counters of each customer and class,
/// human-readable
std::string metrics_text(admin::v1::MetricsReply const& metrics);

} // namespace camphortide::command_line
