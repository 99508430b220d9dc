#pragma once

#include "wake_event.hpp"
#include "zap_handler.hpp"

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <unordered_map>
#include <vector>

#include <zmq.hpp>

#include <camphortide/transport/peers/peer_queue.hpp>
#include <camphortide/transport/peers/peer_socket.hpp>

namespace camphortide::transport
{

/// The thread of a peer socket and the state that it owns.
class peer_socket::loop
{
public:
    /// Binds the listening socket; throws zmq::error_t.
    loop(peer_socket_settings settings, peer_handler& handler);
    ~loop();
    loop(loop const&) = delete;
    loop& operator=(loop const&) = delete;

    /// Starts the thread.
    void start();

    void send(peer_message message);
    void disconnect(std::string const& address);

    std::string const& address() const { return m_address; }
    peer_socket_counts counts() const;

private:
    /// A connection opened by this side.
    struct connection
    {
        zmq::socket_t m_socket;
        peer_queue m_queue;
    };

    void run();
    void poll();
    void configure(zmq::socket_t& socket, bool server) const;
    connection* connection_to(std::string const& address);
    std::unique_ptr<connection> connect(std::string const& address) const;
    void process_submitted();
    void enqueue(peer_message message);
    void reply_to_inbound(peer_message const& message);
    void flush(connection& peer);
    void receive_inbound();
    void receive_from(std::string const& address, connection& peer);
    void expire();
    void close(std::string const& address);
    void handle_unsent(peer_message const& message);

    peer_socket_settings const m_settings;
    peer_handler& m_handler;
    mutable zmq::context_t m_context;
    std::optional<zap_handler> m_zap_handler;
    zmq::socket_t m_listener;
    std::string m_address;

    std::unordered_map<std::string, std::unique_ptr<connection>> m_connections;
    std::vector<zmq::pollitem_t> m_poll_items;
    std::vector<std::string> m_item_addresses; ///< of the connections' items
    bool m_poll_items_stale = true;
    state::time_point m_next_expiry;

    std::mutex m_mutex; ///< guards the three members below
    std::vector<peer_message> m_submitted;
    std::vector<std::string> m_disconnect_requests;
    bool m_wake_pending = false;
    wake_event m_wake;
    std::atomic<bool> m_stopping = false;

    std::atomic<std::uint64_t> m_sent = 0;
    std::atomic<std::uint64_t> m_received = 0;
    std::atomic<std::uint64_t> m_dropped = 0;
    std::atomic<std::uint64_t> m_undelivered = 0;
    std::thread m_thread;
};

} // namespace camphortide::transport
