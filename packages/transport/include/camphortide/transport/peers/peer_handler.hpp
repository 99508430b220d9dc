#pragma once

#include <cstdint>
#include <string_view>

#include <camphortide/transport/peers/peer_message.hpp>

namespace camphortide::transport
{

/// Receives the events of a peer socket. Called on the socket's own thread;
/// must not block.
class peer_handler
{
public:
    virtual ~peer_handler() = default;

    /// Handles a message from a peer.
    /// @param from the route for a reply
    /// @param bytes valid during the call
    virtual void on_message(peer_route const& from, std::string_view bytes) = 0;

    /// Handles the failure of a reported message: it was not sent and will not
    /// be.
    /// @param message_id the message's m_message_id
    virtual void on_undelivered(std::uint64_t message_id) = 0;
};

} // namespace camphortide::transport
