#pragma once

#include <string>

#include <absl/status/statusor.h>

#include <camphortide/admin/v1/admin.pb.h>
#include <camphortide/state/clock.hpp>

namespace camphortide::command_line
{

/// The address and TLS settings of an instance's admin service.
struct admin_server
{
    std::string m_address;   ///< IP:PORT
    std::string m_authority; ///< PEM file of the CA; empty: no TLS
};

/// Requests the status of an instance. Blocks until the reply or the timeout.
/// @param server the instance's admin service
/// @param timeout maximum time to wait
/// @return the status, or UNAVAILABLE if the call failed or timed out
absl::StatusOr<admin::v1::StatusReply> fetch_status(admin_server const& server,
                                                    state::duration timeout);

/// Requests the metrics of an instance. Blocks until the reply or the timeout.
/// @return the metrics, including the page in the Prometheus text format
absl::StatusOr<admin::v1::MetricsReply>
fetch_metrics(admin_server const& server, state::duration timeout);

} // namespace camphortide::command_line
