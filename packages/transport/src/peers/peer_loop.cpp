#include "peer_loop.hpp"

#include <utility>

namespace camphortide::transport
{

namespace
{

constexpr int heartbeat_interval = 300000;   ///< milliseconds
constexpr int heartbeat_timeout = 300000;    ///< milliseconds
constexpr int first_reconnect_wait = 20;     ///< milliseconds
constexpr int longest_reconnect_wait = 1000; ///< milliseconds
constexpr int socket_queue_length = 1000;    ///< messages inside ZeroMQ
constexpr state::duration expiry_interval{10};
constexpr int most_received_at_once = 256;

} // namespace

peer_socket::loop::loop(peer_socket_settings settings, peer_handler& handler)
    : m_settings(std::move(settings)),
      m_handler(handler),
      m_listener(m_context, zmq::socket_type::router)
{
    if (!m_settings.m_curve_public_key.empty())
    {
        m_gate.emplace(m_context, m_settings.m_curve_public_key);
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
    m_handed_over.push_back(std::move(message));
    if (!std::exchange(m_woken, true))
    {
        m_wake.set();
    }
}

void peer_socket::loop::forget(std::string const& address)
{
    std::scoped_lock const lock(m_mutex);
    m_forgotten.push_back(address);
    if (!std::exchange(m_woken, true))
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
        take_handed_over();
        if (m_gate)
        {
            m_gate->answer();
        }
        receive_from_callers();
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
    if (m_items_stale)
    {
        m_items_stale = false;
        m_items.clear();
        m_items.push_back({nullptr, m_wake.descriptor(), ZMQ_POLLIN, 0});
        m_items.push_back({m_listener.handle(), 0, ZMQ_POLLIN, 0});
        if (m_gate)
        {
            m_items.push_back({m_gate->socket().handle(), 0, ZMQ_POLLIN, 0});
        }
        for (auto& [address, peer] : m_connections)
        {
            m_items.push_back({peer->m_socket.handle(), 0, ZMQ_POLLIN, 0});
        }
    }
    bool waiting = false;
    auto item =
        m_items.end() - static_cast<std::ptrdiff_t>(m_connections.size());
    for (auto& [address, peer] : m_connections)
    {
        bool const queued = !peer->m_queue.empty();
        waiting = waiting || queued;
        item->events = queued ? ZMQ_POLLIN | ZMQ_POLLOUT : ZMQ_POLLIN;
        ++item;
    }
    // An interrupted poll counts as one without events.
    zmq_poll(m_items.data(), static_cast<int>(m_items.size()),
             waiting ? static_cast<long>(expiry_interval.count()) : -1L);
}

void peer_socket::loop::take_handed_over()
{
    std::vector<peer_message> messages;
    std::vector<std::string> forgotten;
    {
        std::scoped_lock const lock(m_mutex);
        if (!std::exchange(m_woken, false))
        {
            return;
        }
        m_wake.clear();
        messages.swap(m_handed_over);
        forgotten.swap(m_forgotten);
    }
    for (auto& message : messages)
    {
        enqueue(std::move(message));
    }
    for (auto const& address : forgotten)
    {
        close(address);
    }
}

void peer_socket::loop::enqueue(peer_message message)
{
    if (message.m_bytes.size() > m_settings.m_max_message_bytes)
    {
        not_sent(message);
        return;
    }
    if (!message.m_to.m_caller.empty())
    {
        answer_caller(message);
        return;
    }
    auto* const peer = connection_to(message.m_to.m_address);
    if (peer == nullptr)
    {
        not_sent(message);
        return;
    }
    if (auto const refused = peer->m_queue.push(std::move(message)))
    {
        not_sent(*refused);
    }
}

peer_socket::loop::connection*
peer_socket::loop::connection_to(std::string const& address)
{
    auto const place = m_connections.find(address);
    if (place != m_connections.end())
    {
        return place->second.get();
    }
    try
    {
        m_items_stale = true;
        return m_connections.emplace(address, connect(address))
            .first->second.get();
    }
    catch (zmq::error_t const&)
    {
        return nullptr; // not an address
    }
}

std::unique_ptr<peer_socket::loop::connection>
peer_socket::loop::connect(std::string const& address) const
{
    auto made = std::make_unique<connection>(
        connection{zmq::socket_t(m_context, zmq::socket_type::dealer),
                   peer_queue(m_settings.m_queue_length)});
    configure(made->m_socket, false);
    made->m_socket.set(zmq::sockopt::immediate, true);
    made->m_socket.set(zmq::sockopt::reconnect_ivl, first_reconnect_wait);
    made->m_socket.set(zmq::sockopt::reconnect_ivl_max, longest_reconnect_wait);
    made->m_socket.connect("tcp://" + address);
    return made;
}

void peer_socket::loop::answer_caller(peer_message const& message)
{
    try
    {
        bool const taken =
            m_listener
                .send(zmq::buffer(message.m_to.m_caller),
                      zmq::send_flags::sndmore | zmq::send_flags::dontwait)
                .has_value() &&
            m_listener
                .send(zmq::buffer(message.m_bytes), zmq::send_flags::dontwait)
                .has_value();
        if (taken)
        {
            ++m_sent;
            return;
        }
    }
    catch (zmq::error_t const&)
    {
        // The caller's connection is gone.
    }
    not_sent(message);
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

void peer_socket::loop::receive_from_callers()
{
    for (int i = 0; i < most_received_at_once; ++i)
    {
        zmq::message_t caller;
        if (!m_listener.recv(caller, zmq::recv_flags::dontwait))
        {
            return;
        }
        zmq::message_t body;
        bool const single = caller.more() &&
                            m_listener.recv(body, zmq::recv_flags::dontwait) &&
                            !body.more();
        while (body.more() && m_listener.recv(body, zmq::recv_flags::dontwait))
        {
        }
        if (single)
        {
            ++m_received;
            m_handler.on_message({{}, caller.to_string()},
                                 body.to_string_view());
        }
    }
}

void peer_socket::loop::receive_from(std::string const& address,
                                     connection& peer)
{
    for (int i = 0; i < most_received_at_once; ++i)
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
            not_sent(message);
        }
    }
}

void peer_socket::loop::close(std::string const& address)
{
    auto const place = m_connections.find(address);
    if (place == m_connections.end())
    {
        return;
    }
    for (auto const& message : place->second->m_queue.clear())
    {
        not_sent(message);
    }
    m_connections.erase(place);
    m_items_stale = true;
}

void peer_socket::loop::not_sent(peer_message const& message)
{
    if (message.m_delivery == delivery::droppable)
    {
        ++m_dropped;
        return;
    }
    ++m_undelivered;
    m_handler.on_undelivered(message.m_ticket);
}

} // namespace camphortide::transport
