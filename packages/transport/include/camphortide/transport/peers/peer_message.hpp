#pragma once

#include <compare>
#include <cstdint>
#include <string>

#include <camphortide/state/clock.hpp>

namespace camphortide::transport
{

/// Where a message goes to or came from.
struct peer_route
{
    std::string m_address;    ///< HOST:PORT, of a connection that we opened
    std::string m_routing_id; ///< opaque, of a connection that the peer opened

    friend auto operator<=>(peer_route const&, peer_route const&) = default;
};

/// What happens to a message that a peer is too slow for.
enum class delivery
{
    droppable, ///< the oldest droppable one of the peer is dropped
    reported   ///< the handler is told that it was not sent
};

/// A message to a peer. It is sent at most once.
struct peer_message
{
    peer_route m_to;
    std::string m_bytes;
    delivery m_delivery = delivery::droppable;
    std::uint64_t m_message_id = 0; ///< names a reported message to the handler
    state::time_point m_expires;    ///< of a reported message, while it waits

    friend auto operator<=>(peer_message const&, peer_message const&) = default;
};

} // namespace camphortide::transport
