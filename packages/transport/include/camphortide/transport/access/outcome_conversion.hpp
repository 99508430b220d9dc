#pragma once

#include <camphortide/state/outcome.hpp>
#include <camphortide/v1/access.pb.h>

namespace camphortide::transport
{

/// @return the outcome's protobuf value
v1::Outcome to_proto(state::outcome value);

/// @return the outcome; unknown for an unrecognised protobuf value
state::outcome from_proto(v1::Outcome value);

} // namespace camphortide::transport
