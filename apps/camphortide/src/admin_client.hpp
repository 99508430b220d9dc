#pragma once

#include <string>

#include <absl/status/statusor.h>

#include <camphortide/admin/v1/admin.pb.h>
#include <camphortide/state/clock.hpp>

namespace camphortide::command_line
{

/// Where an instance's service for operators is.
struct admin_server
{
    std::string m_address;   ///< IP:PORT
    std::string m_authority; ///< PEM file; empty: no TLS
};

/// Asks an instance for its status, and waits.
/// @param place the instance's service for operators
/// @param timeout the longest wait
/// @return the status, or UNAVAILABLE if there was no answer in time
absl::StatusOr<admin::v1::StatusReply> fetch_status(admin_server const& server,
                                                    state::duration timeout);

/// Asks an instance for its metrics, and waits.
/// @return the metrics, with the text page
absl::StatusOr<admin::v1::MetricsReply>
fetch_metrics(admin_server const& server, state::duration timeout);

} // namespace camphortide::command_line
