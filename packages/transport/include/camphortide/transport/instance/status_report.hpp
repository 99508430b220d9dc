#pragma once

#include <camphortide/admin/v1/admin.pb.h>
#include <camphortide/transport/gateway/group_gateway.hpp>
#include <camphortide/transport/instance/fleet_control.hpp>

namespace camphortide::transport
{

/// Tells operators what the control state of an instance holds. Runs on the
/// control thread.
/// @param fleet of the instance
/// @param homes of the instance
/// @param now the time
/// @return the report without what the instance itself counts
admin::v1::StatusReply make_status_report(fleet_control const& fleet,
                                          home_registry const& homes,
                                          state::time_point now);

} // namespace camphortide::transport
