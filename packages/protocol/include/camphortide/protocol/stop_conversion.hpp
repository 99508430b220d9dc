#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include <camphortide/state/planned_stop.hpp>
#include <camphortide/stop/v1/stop.pb.h>

namespace camphortide::protocol
{

/// @return the message of a list of stops
stop::v1::StopList to_proto(state::stop_list const& value);
/// @return the list of stops that a message holds
state::stop_list from_proto(stop::v1::StopList const& message);

/// @param value a planned stop
/// @return the bytes of its object in the store
std::string encode_stop_object(state::planned_stop const& value);

/// @param bytes bytes of a stop's object
/// @param object_version the store's version of the object
/// @return the stop; none if the bytes are damaged. A stop stored without the
///     version of its creation gets object_version as that version
std::optional<state::planned_stop>
decode_stop_object(std::string_view bytes, std::uint64_t object_version);

} // namespace camphortide::protocol
