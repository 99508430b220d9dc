#pragma once

#include <array>
#include <cstdint>
#include <string>

#include <zmq.hpp>

namespace camphortide::transport
{

/// Answers ZeroMQ's authentication requests (RFC 27): lets in the peers that
/// hold one public key.
class zap_handler
{
public:
    /// @param context whose sockets ask the gate
    /// @param public_key Z85
    zap_handler(zmq::context_t& context, std::string const& public_key);

    /// Answers the requests that have come.
    void answer_requests();

    /// @return the socket to poll
    zmq::socket_t& socket() { return m_socket; }

private:
    static constexpr std::size_t key_bytes = 32;

    zmq::socket_t m_socket;
    std::array<std::uint8_t, key_bytes> m_public_key{};
};

} // namespace camphortide::transport
