#pragma once

#include <string>

#include <absl/status/statusor.h>

#include <camphortide/admin/v1/admin.pb.h>
#include <camphortide/state/clock.hpp>

namespace camphortide::command_line
{

/// Asks an instance for its status, and waits.
/// @param address IP:PORT of its service for operators
/// @param timeout the longest wait
/// @return the status, or UNAVAILABLE if there was no answer in time
absl::StatusOr<admin::v1::StatusReply> fetch_status(std::string const& address,
                                                    state::duration timeout);

/// Asks an instance for its metrics, and waits.
/// @return the metrics, with the text page
absl::StatusOr<admin::v1::MetricsReply>
fetch_metrics(std::string const& address, state::duration timeout);

} // namespace camphortide::command_line
