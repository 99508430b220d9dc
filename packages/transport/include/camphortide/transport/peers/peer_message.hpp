#pragma once

#include <compare>
#include <cstdint>
#include <string>

#include <camphortide/state/clock.hpp>

namespace camphortide::transport
{

/// The destination of a sent message or the origin of a received one. One of
/// the members is set.
struct peer_route
{
    std::string m_address;    ///< HOST:PORT of a connection opened by this side
    std::string m_routing_id; ///< opaque; of a connection opened by the peer

    friend auto operator<=>(peer_route const&, peer_route const&) = default;
};

/// What happens to a message that cannot be sent.
enum class delivery
{
    droppable, ///< a full queue drops the oldest droppable one
    reported   ///< the handler is notified
};

/// A message to a peer. It is sent at most once.
struct peer_message
{
    peer_route m_to;
    std::string m_bytes;
    delivery m_delivery = delivery::droppable;
    std::uint64_t m_message_id = 0; ///< of a reported message, for the handler
    state::time_point m_expires;    ///< of a reported one, while queued

    friend auto operator<=>(peer_message const&, peer_message const&) = default;
};

} // namespace camphortide::transport
