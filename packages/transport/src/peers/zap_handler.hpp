#pragma once

#include <array>
#include <cstdint>
#include <string>

#include <zmq.hpp>

namespace camphortide::transport
{

/// Handles the authentication requests of ZeroMQ (ZAP, RFC 27): admits only the
/// peers that use one public key.
class zap_handler
{
public:
    /// @param context the context whose sockets send the requests
    /// @param public_key Z85
    zap_handler(zmq::context_t& context, std::string const& public_key);

    /// Replies to all pending requests.
    void answer_requests();

    /// @return the socket to poll
    zmq::socket_t& socket() { return m_socket; }

private:
    static constexpr std::size_t key_bytes = 32;

    zmq::socket_t m_socket;
    std::array<std::uint8_t, key_bytes> m_public_key{};
};

} // namespace camphortide::transport
