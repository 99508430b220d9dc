#pragma once

#include <camphortide/endpoint/v1/member.pb.h>
#include <camphortide/state/member_status.hpp>

namespace camphortide::protocol
{

/// @return the position that a message holds
state::log_position from_proto(endpoint::v1::Position const& message);

/// @return a position's message
endpoint::v1::Position to_proto(state::log_position const& value);

/// @return the member status that a message holds
state::member_status from_proto(endpoint::v1::MemberStatus const& message);

/// @return a member status's message
endpoint::v1::MemberStatus to_proto(state::member_status const& value);

} // namespace camphortide::protocol
