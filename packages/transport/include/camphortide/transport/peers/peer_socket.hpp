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

/// What a peer socket needs to know.
struct peer_socket_settings
{
    std::string m_listen; ///< IP:PORT; port 0 takes a free one
    std::size_t m_max_message_bytes = std::size_t{1} << 20;
    std::size_t m_queue_length = 4096; ///< per peer and kind of delivery
    std::string m_curve_public_key;    ///< Z85; empty: no CURVE
    std::string m_curve_secret_key;    ///< Z85

    friend auto operator<=>(peer_socket_settings const&,
                            peer_socket_settings const&) = default;
};

/// How many messages a peer socket has moved.
struct peer_socket_counts
{
    std::uint64_t m_sent = 0;
    std::uint64_t m_received = 0;
    std::uint64_t m_dropped = 0;     ///< droppable ones
    std::uint64_t m_undelivered = 0; ///< reported ones

    friend auto operator<=>(peer_socket_counts const&,
                            peer_socket_counts const&) = default;
};

/// Messages to and from other instances over ZeroMQ. One thread owns all
/// sockets; every other thread hands messages to it. With CURVE, only peers
/// that hold the system's key pair are let in.
class peer_socket
{
public:
    /// Begins to listen, and starts the thread.
    /// @param settings the addresses, limits and keys
    /// @param handler told of messages; outlives the socket
    /// @return the socket; UNAVAILABLE if the address is taken, and
    ///     INVALID_ARGUMENT if an address or a key is wrong
    static absl::StatusOr<std::unique_ptr<peer_socket>>
    open(peer_socket_settings const& settings, peer_handler& handler);

    /// Ends the thread. Messages that wait are not sent and not reported.
    ~peer_socket();
    peer_socket(peer_socket const&) = delete;
    peer_socket& operator=(peer_socket const&) = delete;

    /// Hands a message to the thread; never blocks on the network. The first
    /// message to an address opens the connection.
    void send(peer_message message);

    /// Closes the connection to an address, if there is one. Reported messages
    /// that wait for it are told as not sent.
    void disconnect(std::string const& address);

    /// @return the address that it listens on, with the port it got
    std::string const& address() const;

    /// @return the counts so far
    peer_socket_counts counts() const;

private:
    class loop;
    explicit peer_socket(std::unique_ptr<loop> running);

    std::unique_ptr<loop> m_loop;
};

/// Makes a CURVE key pair, for the settings.
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
