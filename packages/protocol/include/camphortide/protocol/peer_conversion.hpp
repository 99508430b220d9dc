#pragma once

#include <optional>

#include <camphortide/coordination/fleet/catalogue_messages.hpp>
#include <camphortide/coordination/fleet/heartbeat.hpp>
#include <camphortide/peer/v1/peer.pb.h>

namespace camphortide::protocol
{

/// @param self the sender
/// @return an envelope with the sender's name and incarnation
peer::v1::Envelope make_envelope(state::instance_record const& self);

/// @return the envelope of a heartbeat, from its own sender
peer::v1::Envelope to_envelope(coordination::heartbeat const& value);

/// @param envelope with a heartbeat
/// @return the heartbeat; none if it is of an unknown kind or names nobody
std::optional<coordination::heartbeat>
heartbeat_from(peer::v1::Envelope const& envelope);

/// @return the message of an offer
peer::v1::CatalogueOffer to_proto(coordination::catalogue_offer const& value);
/// @return the value of an offer's message
coordination::catalogue_offer
from_proto(peer::v1::CatalogueOffer const& message);

/// @return the message of a request for parts
peer::v1::CatalogueRequest
to_proto(coordination::catalogue_request const& value);
/// @return the value of a request's message
coordination::catalogue_request
from_proto(peer::v1::CatalogueRequest const& message);

} // namespace camphortide::protocol
