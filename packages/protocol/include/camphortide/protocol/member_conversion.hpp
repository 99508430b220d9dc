#pragma once

#include <camphortide/endpoint/v1/member.pb.h>
#include <camphortide/state/member_status.hpp>

namespace camphortide::protocol
{

/// @return the value of a position message
state::log_position from_proto(endpoint::v1::Position const& message);

/// @return the message of a position
endpoint::v1::Position to_proto(state::log_position const& value);

/// @return the value of a member's status message
state::member_status from_proto(endpoint::v1::MemberStatus const& message);

/// @return the message of a member's status
endpoint::v1::MemberStatus to_proto(state::member_status const& value);

} // namespace camphortide::protocol
