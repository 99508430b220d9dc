#pragma once

#include <optional>
#include <string>
#include <string_view>

#include <camphortide/catalogue/v1/catalogue.pb.h>
#include <camphortide/coordination/fleet/catalogue_parts.hpp>

namespace camphortide::protocol
{

/// @return the message of an entry
catalogue::v1::Entry to_proto(state::catalogue_entry const& value);
/// @return the value of an entry's message
state::catalogue_entry from_proto(catalogue::v1::Entry const& message);

/// @return the message of a group
catalogue::v1::Group to_proto(state::group_description const& value);
/// @return the value of a group's message
state::group_description from_proto(catalogue::v1::Group const& message);

/// @return the message of a head
catalogue::v1::Head to_proto(state::catalogue_head const& value);
/// @return the value of a head's message
state::catalogue_head from_proto(catalogue::v1::Head const& message);

/// @return the message of a head with chunks
catalogue::v1::Parts to_proto(coordination::catalogue_parts const& value);
/// @return the value of a message of a head with chunks
coordination::catalogue_parts from_proto(catalogue::v1::Parts const& message);

/// @param value what the head's object is to hold
/// @return the object's bytes
std::string encode_head_object(coordination::catalogue_parts const& value);

/// @param bytes of the head's object
/// @return what they hold; none if they are damaged
std::optional<coordination::catalogue_parts>
decode_head_object(std::string_view bytes);

} // namespace camphortide::protocol
