#pragma once

#include <camphortide/peer/v1/peer.pb.h>
#include <camphortide/transport/gateway/group_request.hpp>

namespace camphortide::transport
{

/// @param request the request to forward
/// @param now time from which the remaining time to the deadline is computed
/// @return the message
peer::v1::ForwardRequest to_proto(group_request const& request,
                                  state::time_point now);

/// @param message the received message
/// @param sender the sending instance; makes its transactions distinct from
///     those of other instances
/// @param now the time of arrival
/// @return the request, with a deadline on this process's clock
group_request from_proto(peer::v1::ForwardRequest const& message,
                         std::string const& sender, state::time_point now);

/// @return the message that holds a reply
peer::v1::ForwardReply to_proto(group_reply const& reply);

/// @return the reply that a message holds
group_reply from_proto(peer::v1::ForwardReply const& message);

} // namespace camphortide::transport
