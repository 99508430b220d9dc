#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

#include <absl/status/statusor.h>

#include <camphortide/transport/peers/peer_handler.hpp>
#include <camphortide/transport/peers/peer_message.hpp>

namespace camphortide::transport
{

/// Settings of a peer socket.
struct peer_socket_settings
{
    std::string m_listen; ///< IP:PORT; port 0 selects a free port
    std::size_t m_max_message_bytes = std::size_t{1} << 20;
    std::size_t m_queue_length = 4096; ///< per peer and kind of delivery
    std::string m_curve_public_key;    ///< Z85; empty: no CURVE
    std::string m_curve_secret_key;    ///< Z85

    friend auto operator<=>(peer_socket_settings const&,
                            peer_socket_settings const&) = default;
};

/// Counts of a peer socket's messages.
struct peer_socket_counts
{
    std::uint64_t m_sent = 0;
    std::uint64_t m_received = 0;
    std::uint64_t m_dropped = 0;     ///< droppable ones not sent
    std::uint64_t m_undelivered = 0; ///< reported ones not sent

    friend auto operator<=>(peer_socket_counts const&,
                            peer_socket_counts const&) = default;
};

/// Sends and receives messages of other instances over ZeroMQ. One thread owns
/// all ZeroMQ sockets; the other threads hand messages to it. With CURVE, only
/// peers that hold the system's key pair can connect.
class peer_socket
{
public:
    /// Starts to listen, and starts the thread.
    /// @param settings the addresses, limits and keys
    /// @param handler receives the events; must outlive the socket
    /// @return the socket; UNAVAILABLE if the address is in use, and
    ///     INVALID_ARGUMENT if an address or a key is invalid
    static absl::StatusOr<std::unique_ptr<peer_socket>>
    open(peer_socket_settings const& settings, peer_handler& handler);

    /// Ends the thread. Queued messages are neither sent nor reported.
    ~peer_socket();
    peer_socket(peer_socket const&) = delete;
    peer_socket& operator=(peer_socket const&) = delete;

    /// Hands a message to the thread; never blocks on the network. The first
    /// message to an address opens the connection.
    void send(peer_message message);

    /// Closes the connection to an address, if there is one. Its queued
    /// reported messages are reported as not sent.
    void disconnect(std::string const& address);

    /// @return the address on which it listens, with the actual port
    std::string const& address() const;

    /// @return the counts since the start
    peer_socket_counts counts() const;

private:
    class loop;
    explicit peer_socket(std::unique_ptr<loop> running);

    std::unique_ptr<loop> m_loop;
};

/// A CURVE key pair, for the settings.
struct curve_key_pair
{
    std::string m_public_key; ///< Z85
    std::string m_secret_key; ///< Z85

    friend auto operator<=>(curve_key_pair const&,
                            curve_key_pair const&) = default;
};

/// @return a new random key pair
curve_key_pair make_curve_key_pair();

} // namespace camphortide::transport
