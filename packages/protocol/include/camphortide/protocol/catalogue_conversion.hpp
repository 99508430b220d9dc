#pragma once

#include <optional>
#include <string>
#include <string_view>

#include <camphortide/catalogue/v1/catalogue.pb.h>
#include <camphortide/coordination/fleet/catalogue_parts.hpp>

namespace camphortide::protocol
{

/// @return an entry's message
catalogue::v1::Entry to_proto(state::catalogue_entry const& value);
/// @return the entry that a message holds
state::catalogue_entry from_proto(catalogue::v1::Entry const& message);

/// @return a group's message
catalogue::v1::Group to_proto(state::group_description const& value);
/// @return the group that a message holds
state::group_description from_proto(catalogue::v1::Group const& message);

/// @return a head's message
catalogue::v1::Head to_proto(state::catalogue_head const& value);
/// @return the head that a message holds
state::catalogue_head from_proto(catalogue::v1::Head const& message);

/// @return a head's message together with its chunks
catalogue::v1::Parts to_proto(coordination::catalogue_parts const& value);
/// @return the head and the chunks that a message holds
coordination::catalogue_parts from_proto(catalogue::v1::Parts const& message);

/// @param value content of the head's object
/// @return the object's bytes
std::string encode_head_object(coordination::catalogue_parts const& value);

/// @param bytes bytes of the head's object
/// @return the content; none if the bytes are damaged
std::optional<coordination::catalogue_parts>
decode_head_object(std::string_view bytes);

} // namespace camphortide::protocol
