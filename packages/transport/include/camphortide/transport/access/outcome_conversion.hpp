#pragma once

#include <camphortide/state/outcome.hpp>
#include <camphortide/v1/access.pb.h>

namespace camphortide::transport
{

/// @return the message of an outcome
v1::Outcome to_proto(state::outcome value);

/// @return the value of an outcome's message; unknown for one not known here
state::outcome from_proto(v1::Outcome value);

} // namespace camphortide::transport
