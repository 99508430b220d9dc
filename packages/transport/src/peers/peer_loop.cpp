#include "peer_loop.hpp"

#include <utility>

namespace camphortide::transport
{

namespace
{

constexpr int heartbeat_interval = 300000;   ///< milliseconds
constexpr int heartbeat_timeout = 300000;    ///< milliseconds
constexpr int min_reconnect_interval = 20;   ///< milliseconds
constexpr int max_reconnect_interval = 1000; ///< milliseconds
constexpr int socket_queue_length = 1000;    ///< messages in a ZeroMQ socket
constexpr state::duration expiry_interval{10};
constexpr int max_receive_batch = 256;

} // namespace

peer_socket::loop::loop(peer_socket_settings settings, peer_handler& handler)
    : m_settings(std::move(settings)),
      m_handler(handler),
      m_listener(m_context, zmq::socket_type::router)
{
    if (!m_settings.m_curve_public_key.empty())
    {
        m_zap_handler.emplace(m_context, m_settings.m_curve_public_key);
    }
    configure(m_listener, true);
    m_listener.set(zmq::sockopt::router_mandatory, 1);
    m_listener.bind("tcp://" + m_settings.m_listen);
    m_address = m_listener.get(zmq::sockopt::last_endpoint)
                    .substr(std::string_view("tcp://").size());
}

peer_socket::loop::~loop()
{
    m_stopping = true;
    m_wake.set();
    if (m_thread.joinable())
    {
        m_thread.join();
    }
}

void peer_socket::loop::start()
{
    m_thread = std::thread([this] { run(); });
}

void peer_socket::loop::configure(zmq::socket_t& socket, bool server) const
{
    socket.set(zmq::sockopt::linger, 0);
    socket.set(zmq::sockopt::maxmsgsize,
               static_cast<std::int64_t>(m_settings.m_max_message_bytes));
    socket.set(zmq::sockopt::sndhwm, socket_queue_length);
    socket.set(zmq::sockopt::rcvhwm, socket_queue_length);
    socket.set(zmq::sockopt::heartbeat_ivl, heartbeat_interval);
    socket.set(zmq::sockopt::heartbeat_timeout, heartbeat_timeout);
    if (m_settings.m_curve_public_key.empty())
    {
        return;
    }
    socket.set(zmq::sockopt::curve_publickey, m_settings.m_curve_public_key);
    socket.set(zmq::sockopt::curve_secretkey, m_settings.m_curve_secret_key);
    if (server)
    {
        socket.set(zmq::sockopt::curve_server, true);
    }
    else
    {
        socket.set(zmq::sockopt::curve_serverkey,
                   m_settings.m_curve_public_key);
    }
}

void peer_socket::loop::send(peer_message message)
{
    std::scoped_lock const lock(m_mutex);
    m_submitted.push_back(std::move(message));
    if (!std::exchange(m_wake_pending, true))
    {
        m_wake.set();
    }
}

void peer_socket::loop::disconnect(std::string const& address)
{
    std::scoped_lock const lock(m_mutex);
    m_disconnect_requests.push_back(address);
    if (!std::exchange(m_wake_pending, true))
    {
        m_wake.set();
    }
}

peer_socket_counts peer_socket::loop::counts() const
{
    return {m_sent, m_received, m_dropped, m_undelivered};
}

void peer_socket::loop::run()
{
    while (!m_stopping)
    {
        poll();
        process_submitted();
        if (m_zap_handler)
        {
            m_zap_handler->answer_requests();
        }
        receive_inbound();
        for (auto& [address, peer] : m_connections)
        {
            receive_from(address, *peer);
            flush(*peer);
        }
        expire();
    }
}

void peer_socket::loop::poll()
{
    if (m_poll_items_stale)
    {
        m_poll_items_stale = false;
        m_poll_items.clear();
        m_poll_items.push_back({nullptr, m_wake.descriptor(), ZMQ_POLLIN, 0});
        m_poll_items.push_back({m_listener.handle(), 0, ZMQ_POLLIN, 0});
        if (m_zap_handler)
        {
            m_poll_items.push_back(
                {m_zap_handler->socket().handle(), 0, ZMQ_POLLIN, 0});
        }
        for (auto& [address, peer] : m_connections)
        {
            m_poll_items.push_back({peer->m_socket.handle(), 0, ZMQ_POLLIN, 0});
        }
    }
    bool any_queued = false;
    auto item =
        m_poll_items.end() - static_cast<std::ptrdiff_t>(m_connections.size());
    for (auto& [address, peer] : m_connections)
    {
        bool const queued = !peer->m_queue.empty();
        any_queued = any_queued || queued;
        item->events = queued ? ZMQ_POLLIN | ZMQ_POLLOUT : ZMQ_POLLIN;
        ++item;
    }
    // An interrupted poll is treated as one without events.
    zmq_poll(m_poll_items.data(), static_cast<int>(m_poll_items.size()),
             any_queued ? static_cast<long>(expiry_interval.count()) : -1L);
}

void peer_socket::loop::process_submitted()
{
    std::vector<peer_message> messages;
    std::vector<std::string> disconnect_requests;
    {
        std::scoped_lock const lock(m_mutex);
        if (!std::exchange(m_wake_pending, false))
        {
            return;
        }
        m_wake.clear();
        messages.swap(m_submitted);
        disconnect_requests.swap(m_disconnect_requests);
    }
    for (auto& message : messages)
    {
        enqueue(std::move(message));
    }
    for (auto const& address : disconnect_requests)
    {
        close(address);
    }
}

void peer_socket::loop::enqueue(peer_message message)
{
    if (message.m_bytes.size() > m_settings.m_max_message_bytes)
    {
        handle_unsent(message);
        return;
    }
    if (!message.m_to.m_routing_id.empty())
    {
        reply_to_inbound(message);
        return;
    }
    auto* const peer = connection_to(message.m_to.m_address);
    if (peer == nullptr)
    {
        handle_unsent(message);
        return;
    }
    if (auto const refused = peer->m_queue.push(std::move(message)))
    {
        handle_unsent(*refused);
    }
}

peer_socket::loop::connection*
peer_socket::loop::connection_to(std::string const& address)
{
    auto const found = m_connections.find(address);
    if (found != m_connections.end())
    {
        return found->second.get();
    }
    try
    {
        m_poll_items_stale = true;
        return m_connections.emplace(address, connect(address))
            .first->second.get();
    }
    catch (zmq::error_t const&)
    {
        return nullptr; // invalid address
    }
}

std::unique_ptr<peer_socket::loop::connection>
peer_socket::loop::connect(std::string const& address) const
{
    auto created = std::make_unique<connection>(
        connection{zmq::socket_t(m_context, zmq::socket_type::dealer),
                   peer_queue(m_settings.m_queue_length)});
    configure(created->m_socket, false);
    created->m_socket.set(zmq::sockopt::immediate, true);
    created->m_socket.set(zmq::sockopt::reconnect_ivl, min_reconnect_interval);
    created->m_socket.set(zmq::sockopt::reconnect_ivl_max,
                          max_reconnect_interval);
    created->m_socket.connect("tcp://" + address);
    return created;
}

void peer_socket::loop::reply_to_inbound(peer_message const& message)
{
    try
    {
        bool const accepted =
            m_listener
                .send(zmq::buffer(message.m_to.m_routing_id),
                      zmq::send_flags::sndmore | zmq::send_flags::dontwait)
                .has_value() &&
            m_listener
                .send(zmq::buffer(message.m_bytes), zmq::send_flags::dontwait)
                .has_value();
        if (accepted)
        {
            ++m_sent;
            return;
        }
    }
    catch (zmq::error_t const&)
    {
        // The peer's connection is closed.
    }
    handle_unsent(message);
}

void peer_socket::loop::flush(connection& peer)
{
    while (auto const* message = peer.m_queue.front())
    {
        if (!peer.m_socket.send(zmq::buffer(message->m_bytes),
                                zmq::send_flags::dontwait))
        {
            return;
        }
        peer.m_queue.pop();
        ++m_sent;
    }
}

void peer_socket::loop::receive_inbound()
{
    for (int i = 0; i < max_receive_batch; ++i)
    {
        zmq::message_t routing_id;
        if (!m_listener.recv(routing_id, zmq::recv_flags::dontwait))
        {
            return;
        }
        zmq::message_t body;
        bool const single_frame =
            routing_id.more() &&
            m_listener.recv(body, zmq::recv_flags::dontwait) && !body.more();
        while (body.more() && m_listener.recv(body, zmq::recv_flags::dontwait))
        {
        }
        if (single_frame)
        {
            ++m_received;
            m_handler.on_message({{}, routing_id.to_string()},
                                 body.to_string_view());
        }
    }
}

void peer_socket::loop::receive_from(std::string const& address,
                                     connection& peer)
{
    for (int i = 0; i < max_receive_batch; ++i)
    {
        zmq::message_t body;
        if (!peer.m_socket.recv(body, zmq::recv_flags::dontwait))
        {
            return;
        }
        ++m_received;
        m_handler.on_message({address, {}}, body.to_string_view());
    }
}

void peer_socket::loop::expire()
{
    auto const now = state::clock::now();
    if (now < m_next_expiry)
    {
        return;
    }
    m_next_expiry = now + expiry_interval;
    for (auto& [address, peer] : m_connections)
    {
        for (auto const& message : peer->m_queue.expire(now))
        {
            handle_unsent(message);
        }
    }
}

void peer_socket::loop::close(std::string const& address)
{
    auto const found = m_connections.find(address);
    if (found == m_connections.end())
    {
        return;
    }
    for (auto const& message : found->second->m_queue.clear())
    {
        handle_unsent(message);
    }
    m_connections.erase(found);
    m_poll_items_stale = true;
}

void peer_socket::loop::handle_unsent(peer_message const& message)
{
    if (message.m_delivery == delivery::droppable)
    {
        ++m_dropped;
        return;
    }
    ++m_undelivered;
    m_handler.on_undelivered(message.m_message_id);
}

} // namespace camphortide::transport
