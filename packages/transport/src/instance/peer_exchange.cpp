#include <set>
#include <utility>

#include <camphortide/transport/instance/peer_exchange.hpp>
#include <camphortide/transport/logging/log.hpp>

namespace camphortide::transport
{

namespace
{

bool is_forwarding_message(peer::v1::Envelope const& envelope)
{
    return envelope.has_forward_request() || envelope.has_forward_reply() ||
           envelope.has_forward_cancel();
}

} // namespace

peer_exchange::peer_exchange(handlers event_handlers)
    : m_handlers(std::move(event_handlers))
{
}

peer_exchange::~peer_exchange()
{
    stop();
}

void peer_exchange::stop()
{
    std::shared_ptr<peer_socket> closing;
    {
        std::scoped_lock const lock(m_mutex);
        closing = std::move(m_socket);
    }
    closing.reset();
    m_arena.execute([this] { m_tasks->wait(); });
}

peer_socket_counts peer_exchange::counts() const
{
    auto const current = socket();
    return current ? current->counts() : peer_socket_counts{};
}

std::shared_ptr<peer_socket> peer_exchange::socket() const
{
    std::scoped_lock const lock(m_mutex);
    return m_socket;
}

void peer_exchange::submit(peer_message message)
{
    if (auto const current = socket())
    {
        current->send(std::move(message));
    }
}

absl::StatusOr<std::unique_ptr<peer_exchange>>
peer_exchange::open(peer_socket_settings const& settings,
                    handlers event_handlers)
{
    std::unique_ptr<peer_exchange> result(
        new peer_exchange(std::move(event_handlers)));
    auto socket = peer_socket::open(settings, *result);
    if (!socket.ok())
    {
        return socket.status();
    }
    result->m_socket = *std::move(socket);
    result->m_address = result->m_socket->address();
    return result;
}

void peer_exchange::set_self(state::instance_record const& self)
{
    std::scoped_lock const lock(m_mutex);
    m_name = self.m_name;
    m_incarnation = self.m_incarnation;
}

void peer_exchange::set_view(std::vector<state::instance_record> const& view)
{
    std::set<std::string> gone;
    {
        std::scoped_lock const lock(m_mutex);
        for (auto const& [name, address] : m_addresses)
        {
            gone.insert(address);
        }
        m_addresses.clear();
        for (auto const& record : view)
        {
            gone.erase(record.m_address);
            if (record.m_state != state::instance_state::gone &&
                !record.m_address.empty())
            {
                m_addresses[record.m_name] = record.m_address;
            }
        }
    }
    auto const current = socket();
    for (auto const& address : gone)
    {
        if (current)
        {
            current->disconnect(address);
        }
    }
}

void peer_exchange::send(std::string const& name, peer::v1::Envelope envelope)
{
    send_to_address(address_of(name), std::move(envelope));
}

void peer_exchange::send_to_address(std::string const& address,
                                    peer::v1::Envelope envelope)
{
    if (address.empty())
    {
        return;
    }
    peer_message message;
    message.m_to.m_address = address;
    message.m_bytes = encode(std::move(envelope));
    submit(std::move(message));
}

bool peer_exchange::send_reported(std::string const& name,
                                  peer::v1::Envelope envelope,
                                  std::uint64_t message_id,
                                  state::time_point expires)
{
    peer_message message;
    message.m_to.m_address = address_of(name);
    if (message.m_to.m_address.empty())
    {
        return false;
    }
    message.m_bytes = encode(std::move(envelope));
    message.m_delivery = delivery::reported;
    message.m_message_id = message_id;
    message.m_expires = expires;
    submit(std::move(message));
    return true;
}

void peer_exchange::reply(peer_route const& to, peer::v1::Envelope envelope)
{
    peer_message message;
    message.m_to = to;
    message.m_bytes = encode(std::move(envelope));
    submit(std::move(message));
}

void peer_exchange::on_message(peer_route const& from, std::string_view bytes)
{
    auto envelope = std::make_shared<peer::v1::Envelope>();
    if (!envelope->ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
    {
        log_warning(log_part::peers, "A message is damaged.",
                    {{"bytes", bytes.size()}});
        return;
    }
    if (!is_forwarding_message(*envelope))
    {
        m_handlers.m_on_control(from, std::move(envelope));
        return;
    }
    m_arena.enqueue(
        m_tasks->defer([this, from, envelope = std::move(envelope)]
                       { m_handlers.m_on_forward(from, envelope); }));
}

void peer_exchange::on_undelivered(std::uint64_t message_id)
{
    m_arena.enqueue(m_tasks->defer(
        [this, message_id] { m_handlers.m_on_undelivered(message_id); }));
}

std::string peer_exchange::address_of(std::string const& name) const
{
    std::scoped_lock const lock(m_mutex);
    auto const found = m_addresses.find(name);
    return found == m_addresses.end() ? std::string() : found->second;
}

std::string peer_exchange::encode(peer::v1::Envelope envelope) const
{
    if (envelope.sender().empty())
    {
        std::scoped_lock const lock(m_mutex);
        envelope.set_sender(m_name);
        envelope.set_incarnation(m_incarnation);
    }
    return envelope.SerializeAsString();
}

} // namespace camphortide::transport
