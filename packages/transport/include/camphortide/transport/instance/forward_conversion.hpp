#pragma once

#include <camphortide/peer/v1/peer.pb.h>
#include <camphortide/transport/gateway/group_request.hpp>

namespace camphortide::transport
{

/// @param request to be forwarded
/// @param now for the time that its deadline leaves
/// @return the message
peer::v1::ForwardRequest to_proto(group_request const& request,
                                  state::time_point now);

/// @param message as it came
/// @param sender names its transactions apart from those of others
/// @param now the time of arrival
/// @return the request, with a deadline on this process's clock
group_request from_proto(peer::v1::ForwardRequest const& message,
                         std::string const& sender, state::time_point now);

/// @return the message of a reply
peer::v1::ForwardReply to_proto(group_reply const& reply);

/// @return the reply of a message
group_reply from_proto(peer::v1::ForwardReply const& message);

} // namespace camphortide::transport
