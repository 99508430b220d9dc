#pragma once

#include <camphortide/admin/v1/admin.pb.h>
#include <camphortide/transport/gateway/group_gateway.hpp>
#include <camphortide/transport/instance/fleet_control.hpp>

namespace camphortide::transport
{

/// Builds the status report for operators from an instance's control state.
/// Must be called on the control thread.
/// @param fleet of the instance
/// @param homes of the instance
/// @param now the current time
/// @return the report without the fields that the instance itself fills in
admin::v1::StatusReply make_status_report(fleet_control const& fleet,
                                          home_registry const& homes,
                                          state::time_point now);

} // namespace camphortide::transport
