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

/// @return an envelope with a heartbeat, from the heartbeat's sender
peer::v1::Envelope to_envelope(coordination::heartbeat const& value);

/// @param envelope the received envelope
/// @return the heartbeat; none if the envelope holds none, the kind or the
///     state is unknown, or the sender has no name
std::optional<coordination::heartbeat>
heartbeat_from(peer::v1::Envelope const& envelope);

/// @return an offer's message
peer::v1::CatalogueOffer to_proto(coordination::catalogue_offer const& value);
/// @return the offer that a message holds
coordination::catalogue_offer
from_proto(peer::v1::CatalogueOffer const& message);

/// @return a request's message
peer::v1::CatalogueRequest
to_proto(coordination::catalogue_request const& value);
/// @return the request that a message holds
coordination::catalogue_request
from_proto(peer::v1::CatalogueRequest const& message);

} // namespace camphortide::protocol
