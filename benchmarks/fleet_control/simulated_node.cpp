#include "simulated_node.hpp"

#include <ctime>
#include <utility>
#include <variant>

#include <camphortide/coordination/fleet/home_table.hpp>
#include <camphortide/protocol/catalogue_conversion.hpp>
#include <camphortide/protocol/peer_conversion.hpp>
#include <camphortide/protocol/stop_conversion.hpp>

namespace coordination = camphortide::coordination;
namespace peer = camphortide::peer;
namespace protocol = camphortide::protocol;
namespace state = camphortide::state;

namespace
{

constexpr std::size_t homes_per_group = 2;
constexpr state::duration refresh_interval{500};

double thread_cpu_seconds()
{
    timespec time{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    constexpr double nanosecond = 1e-9;
    return static_cast<double>(time.tv_sec) +
           static_cast<double>(time.tv_nsec) * nanosecond;
}

} // namespace

class simulated_node::cpu_timer
{
public:
    explicit cpu_timer(node_counts& counts)
        : m_counts(counts),
          m_start(thread_cpu_seconds())
    {
    }
    ~cpu_timer() { m_counts.m_cpu_seconds += thread_cpu_seconds() - m_start; }
    cpu_timer(cpu_timer const&) = delete;
    cpu_timer& operator=(cpu_timer const&) = delete;

private:
    node_counts& m_counts;
    double m_start;
};

simulated_node::simulated_node(state::instance_record const& self,
                               std::vector<std::string> seeds,
                               std::uint64_t seed, time_point now,
                               send_function send, store_call_function call)
    : m_self(self),
      m_membership(coordination::membership_settings(), self, std::move(seeds),
                   seed, now),
      m_follower(coordination::catalogue_follower_settings(), self.m_name,
                 m_codec, seed + 1, now),
      m_stops(coordination::stop_list_settings(), self.m_name, seed + 2, now),
      m_send(std::move(send)),
      m_call(std::move(call))
{
    refresh_view(now);
}

void simulated_node::tick(time_point now)
{
    cpu_timer const timer(m_counts);
    m_membership.set_held_versions({m_follower.version(),
                                    m_stops.list().m_version,
                                    m_follower.confirmed_age(now)});
    execute(m_membership.tick(now));
    refresh_view(now);
    execute(m_follower.tick(now));
    execute(m_stops.tick(now));
}

void simulated_node::refresh_view(time_point now)
{
    bool const is_watcher = m_follower.is_watcher();
    bool const is_same =
        m_membership.revision() == m_revision && is_watcher == m_was_watcher;
    if (!m_addresses.empty() && (is_same || now < m_next_refresh))
    {
        return;
    }
    m_next_refresh = now + refresh_interval;
    m_revision = m_membership.revision();
    m_was_watcher = is_watcher;
    auto const view = m_membership.view();
    for (auto const& record : view)
    {
        m_addresses[record.m_name] = record.m_address;
    }
    m_follower.on_view(view, m_membership.joined() || view.size() > 1);
    m_stops.on_view(view, is_watcher, m_follower.watchers());
    m_homes = coordination::home_table(view, homes_per_group);
    m_groups_at_home = 0;
    if (m_catalogue)
    {
        for (auto const& group : m_catalogue->groups())
        {
            m_groups_at_home +=
                m_homes.is_home(group.m_name, m_self.m_name) ? 1U : 0U;
        }
    }
}

void simulated_node::receive(std::string const& bytes, time_point now)
{
    cpu_timer const timer(m_counts);
    m_counts.m_bytes_received += bytes.size() + message_overhead;
    peer::v1::Envelope message;
    if (message.ParseFromString(bytes))
    {
        dispatch(message, now);
    }
}

void simulated_node::dispatch(peer::v1::Envelope const& message, time_point now)
{
    auto const& from = message.sender();
    switch (message.message_case())
    {
    case peer::v1::Envelope::kHeartbeat:
    {
        auto const value = protocol::heartbeat_from(message);
        execute(m_membership.on_heartbeat(*value, now));
        auto const& held = value->m_held;
        execute(m_follower.on_offer(
            from, {held.m_catalogue, false, held.m_confirmed_age}, now));
        execute(m_stops.on_peer_version(from, held.m_stops, now));
        break;
    }
    case peer::v1::Envelope::kCatalogueOffer:
        execute(m_follower.on_offer(
            from, protocol::from_proto(message.catalogue_offer()), now));
        break;
    case peer::v1::Envelope::kCatalogueRequest:
        execute(m_follower.on_request(
            from, protocol::from_proto(message.catalogue_request())));
        break;
    case peer::v1::Envelope::kCatalogueChunks:
        execute(m_follower.on_parts(
            from, protocol::from_proto(message.catalogue_chunks()), now));
        break;
    case peer::v1::Envelope::kStopsRequest:
        execute(m_stops.on_request(from));
        break;
    case peer::v1::Envelope::kStopList:
        execute(m_stops.on_stops(protocol::from_proto(message.stop_list())));
        break;
    default:
        break;
    }
}

void simulated_node::on_head(std::string const& bytes, time_point now)
{
    cpu_timer const timer(m_counts);
    m_counts.m_store_bytes += bytes.size();
    execute(m_follower.on_store_head(protocol::decode_head_object(bytes), now));
}

void simulated_node::on_chunk(std::string const& name, std::string const* bytes,
                              time_point now)
{
    cpu_timer const timer(m_counts);
    coordination::chunk_bytes chunk;
    if (bytes != nullptr)
    {
        m_counts.m_store_bytes += bytes->size();
        chunk = std::make_shared<std::string const>(*bytes);
    }
    execute(m_follower.on_store_chunk(name, std::move(chunk), now));
}

void simulated_node::on_stops(std::uint64_t version, time_point now)
{
    execute(m_stops.on_store_list({version, {}}, now));
}

void simulated_node::on_store_failure(time_point now)
{
    execute(m_follower.on_store_failed(now));
    m_stops.on_store_failed(now);
}

void simulated_node::leave(time_point now)
{
    execute(m_membership.leave(now));
}

peer::v1::Envelope simulated_node::envelope() const
{
    return protocol::make_envelope(m_membership.self());
}

void simulated_node::send(std::string const& address,
                          peer::v1::Envelope const& message)
{
    auto bytes = message.SerializeAsString();
    m_counts.m_bytes_sent += bytes.size() + message_overhead;
    ++m_counts.m_messages_sent;
    m_send(address, std::move(bytes));
}

void simulated_node::send_to_peer(std::string const& name,
                                  peer::v1::Envelope const& message)
{
    auto const found = m_addresses.find(name);
    if (found != m_addresses.end())
    {
        send(found->second, message);
    }
}

void simulated_node::execute(
    std::vector<coordination::outgoing_heartbeat> const& actions)
{
    for (auto const& action : actions)
    {
        send(action.m_address, protocol::to_envelope(action.m_heartbeat));
    }
}

void simulated_node::execute(
    coordination::catalogue_follower::actions const& actions)
{
    for (auto const& action : actions)
    {
        auto message = envelope();
        if (auto const* offer = std::get_if<coordination::send_offer>(&action))
        {
            *message.mutable_catalogue_offer() =
                protocol::to_proto(offer->m_offer);
            send_to_peer(offer->m_peer, message);
        }
        else if (auto const* request =
                     std::get_if<coordination::send_request>(&action))
        {
            *message.mutable_catalogue_request() =
                protocol::to_proto(request->m_request);
            send_to_peer(request->m_peer, message);
        }
        else if (auto const* parts =
                     std::get_if<coordination::send_parts>(&action))
        {
            *message.mutable_catalogue_chunks() =
                protocol::to_proto(parts->m_parts);
            send_to_peer(parts->m_peer, message);
        }
        else if (auto const* applied =
                     std::get_if<coordination::apply_catalogue>(&action))
        {
            apply(*applied);
        }
        else if (std::holds_alternative<coordination::stop_watch>(action))
        {
            m_call({store_call::kind::end_watch, {}});
        }
        else
        {
            ++m_counts.m_store_calls;
            auto const* chunk = std::get_if<coordination::get_chunk>(&action);
            bool const is_watch =
                std::holds_alternative<coordination::start_watch>(action);
            using kind = store_call::kind;
            m_call(chunk != nullptr
                       ? store_call{kind::chunk, chunk->m_chunk}
                       : store_call{is_watch ? kind::watch : kind::head, {}});
        }
    }
}

void simulated_node::execute(
    coordination::stop_list_follower::actions const& actions)
{
    for (auto const& action : actions)
    {
        auto message = envelope();
        if (auto const* list = std::get_if<coordination::send_stops>(&action))
        {
            *message.mutable_stop_list() = protocol::to_proto(list->m_list);
            send_to_peer(list->m_peer, message);
        }
        else if (auto const* request =
                     std::get_if<coordination::request_stops>(&action))
        {
            message.mutable_stops_request();
            send_to_peer(request->m_peer, message);
        }
        else
        {
            ++m_counts.m_store_calls;
            m_call({store_call::kind::stops, {}});
        }
    }
}

void simulated_node::apply(coordination::apply_catalogue const& action)
{
    m_catalogue =
        coordination::assemble(action.m_head, action.m_chunks, m_codec);
    m_revision = 0; // forces an update of the homes: groups may have changed
}
