#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include <oneapi/tbb/task_arena.h>
#include <oneapi/tbb/task_group.h>

#include <camphortide/peer/v1/peer.pb.h>
#include <camphortide/state/instance_record.hpp>
#include <camphortide/transport/peers/peer_socket.hpp>

namespace camphortide::transport
{

/// Sends and receives the envelopes of the peer protocol. May be used from any
/// thread.
class peer_exchange final : private peer_handler
{
public:
    /// Handlers of received messages and of delivery failures.
    struct handlers
    {
        /// called with control messages, on the socket's thread; must not block
        std::function<void(peer_route const&,
                           std::shared_ptr<peer::v1::Envelope const>)>
            m_on_control;
        /// called with forwarded requests and their replies, on a traffic
        /// thread
        std::function<void(peer_route const&,
                           std::shared_ptr<peer::v1::Envelope const>)>
            m_on_forward;
        /// called for a reported message that was not sent, on a traffic thread
        std::function<void(std::uint64_t message_id)> m_on_undelivered;
    };

    /// Starts to listen.
    /// @return UNAVAILABLE or INVALID_ARGUMENT as peer_socket::open
    static absl::StatusOr<std::unique_ptr<peer_exchange>>
    open(peer_socket_settings const& settings, handlers event_handlers);

    ~peer_exchange() override;

    /// Closes the socket and waits until the traffic threads have handled the
    /// received messages. Messages sent afterwards are dropped.
    void stop();
    peer_exchange(peer_exchange const&) = delete;
    peer_exchange& operator=(peer_exchange const&) = delete;

    /// Sets this instance's name and incarnation, which are written into every
    /// envelope.
    void set_self(state::instance_record const& self);

    /// Sets the instances' addresses, and disconnects from those that are no
    /// longer in use.
    void set_view(std::vector<state::instance_record> const& view);

    /// Sends an envelope that may be lost.
    /// @param name the instance's name; nothing is sent to an unknown instance
    void send(std::string const& name, peer::v1::Envelope envelope);

    /// Sends an envelope that may be lost to an address.
    void send_to_address(std::string const& address,
                         peer::v1::Envelope envelope);

    /// Sends an envelope, and reports if it was not sent.
    /// @param message_id passed to m_on_undelivered
    /// @param expires time after which it is no longer sent
    /// @return false if the instance is unknown
    bool send_reported(std::string const& name, peer::v1::Envelope envelope,
                       std::uint64_t message_id, state::time_point expires);

    /// Sends a reply over the connection on which a message arrived.
    void reply(peer_route const& to, peer::v1::Envelope envelope);

    /// @return the address on which it listens
    std::string const& address() const { return m_address; }

    /// @return the socket's counts; zeros after stop()
    peer_socket_counts counts() const;

private:
    explicit peer_exchange(handlers event_handlers);

    void on_message(peer_route const& from, std::string_view bytes) override;
    void on_undelivered(std::uint64_t message_id) override;
    std::string address_of(std::string const& name) const;
    std::string encode(peer::v1::Envelope envelope) const;
    std::shared_ptr<peer_socket> socket() const;
    void submit(peer_message message);

    handlers const m_handlers;
    oneapi::tbb::task_arena m_arena;
    /// The pending tasks of m_arena. On the heap, since the destructor of a
    /// task_group may throw.
    std::unique_ptr<oneapi::tbb::task_group> const m_tasks =
        std::make_unique<oneapi::tbb::task_group>();
    mutable std::mutex m_mutex;
    std::map<std::string, std::string, std::less<>> m_addresses;
    std::string m_name;
    std::uint64_t m_incarnation = 0;
    std::string m_address;
    std::shared_ptr<peer_socket> m_socket; ///< null after stop()
};

} // namespace camphortide::transport
