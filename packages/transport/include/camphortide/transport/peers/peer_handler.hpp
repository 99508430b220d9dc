#pragma once

#include <cstdint>
#include <string_view>

#include <camphortide/transport/peers/peer_message.hpp>

namespace camphortide::transport
{

/// Receives what a peer socket has to tell. Runs on the socket's own thread;
/// must not block.
class peer_handler
{
public:
    virtual ~peer_handler() = default;

    /// Handles a message of a peer.
    /// @param from the route of an answer
    /// @param bytes valid during the call
    virtual void on_message(peer_route const& from, std::string_view bytes) = 0;

    /// Handles a reported message that was not sent and will not be.
    /// @param ticket the message's ticket
    virtual void on_undelivered(std::uint64_t message_id) = 0;
};

} // namespace camphortide::transport
