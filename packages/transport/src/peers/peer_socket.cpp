#include "peer_loop.hpp"

#include <array>
#include <utility>

#include <camphortide/transport/peers/peer_socket.hpp>

namespace camphortide::transport
{

namespace
{

constexpr std::size_t curve_key_buffer = 41; ///< Z85, null-terminated

} // namespace

absl::StatusOr<std::unique_ptr<peer_socket>>
peer_socket::open(peer_socket_settings const& settings, peer_handler& handler)
{
    try
    {
        auto running = std::make_unique<loop>(settings, handler);
        running->start();
        return std::unique_ptr<peer_socket>(
            new peer_socket(std::move(running)));
    }
    catch (zmq::error_t const& error)
    {
        std::string const text =
            "cannot listen on " + settings.m_listen + ": " + error.what();
        return error.num() == EINVAL ? absl::InvalidArgumentError(text)
                                     : absl::UnavailableError(text);
    }
}

peer_socket::peer_socket(std::unique_ptr<loop> running)
    : m_loop(std::move(running))
{
}

peer_socket::~peer_socket() = default;

void peer_socket::send(peer_message message)
{
    m_loop->send(std::move(message));
}

void peer_socket::disconnect(std::string const& address)
{
    m_loop->disconnect(address);
}

std::string const& peer_socket::address() const
{
    return m_loop->address();
}

peer_socket_counts peer_socket::counts() const
{
    return m_loop->counts();
}

curve_key_pair make_curve_key_pair()
{
    std::array<char, curve_key_buffer> public_key{};
    std::array<char, curve_key_buffer> secret_key{};
    zmq_curve_keypair(public_key.data(), secret_key.data());
    return {public_key.data(), secret_key.data()};
}

} // namespace camphortide::transport
