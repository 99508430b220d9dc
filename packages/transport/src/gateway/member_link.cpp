#include <algorithm>
#include <utility>

#include <camphortide/transport/gateway/member_link.hpp>

namespace camphortide::transport
{

namespace
{

/// Time that a member has to end a connection before the stream is cancelled.
constexpr state::duration max_close_time{2000};
/// Maximum time that a probe waits to be sent with a statement.
constexpr state::duration max_probe_delay{40};
/// A probe that follows the previous one after less than this is sent at once.
constexpr state::duration urgent_interval{50};

} // namespace

member_link::member_link(
    state::member_description const& description, std::size_t index,
    std::shared_ptr<grpc::ChannelCredentials> const& credentials,
    std::weak_ptr<member_events> events)
    : m_description(description),
      m_index(index),
      m_events(std::move(events)),
      m_client(
          std::make_unique<member_client>(description.m_address, credentials)),
      m_pool(coordination::pool_limits{}),
      m_health(coordination::health_limits{})
{
    m_status.m_member = description.m_name;
}

void member_link::set_allowance(coordination::share_allowance allowance)
{
    m_changed = m_changed || allowance != m_allowance;
    m_allowance = allowance;
    m_pool.set_allowance(allowance);
}

void member_link::set_waiting(std::size_t requests)
{
    m_changed = m_changed || requests != m_waiting;
    m_waiting = requests;
    m_pool.set_waiting(requests);
}

bool member_link::needs_step(state::time_point now) const
{
    auto const next = m_pool.next_step();
    return m_changed || (next && *next <= now) ||
           (m_probe_due && *m_probe_due <= now);
}

void member_link::step(state::time_point now)
{
    m_changed = false;
    for (auto const& action : m_pool.step(now))
    {
        if (action.m_kind == coordination::pool_action::kind::open)
        {
            open(action.m_connection);
            continue;
        }
        auto const found = m_streams.find(action.m_connection.m_generation);
        if (found != m_streams.end())
        {
            found->second->finish_writes();
            m_closing.emplace_back(action.m_connection.m_generation, now);
        }
    }
    cancel_overdue(now);
    if (!m_observation)
    {
        observe();
    }
    if (m_probe_due && *m_probe_due <= now)
    {
        send_probe();
    }
}

void member_link::observe()
{
    m_observation = m_client->observe(
        [events = m_events, index = m_index](auto const& status)
        {
            if (auto const target = events.lock())
            {
                target->on_status(index, status);
            }
        },
        [events = m_events, index = m_index](auto const&)
        {
            if (auto const target = events.lock())
            {
                target->on_observation_closed(index);
            }
        });
}

void member_link::cancel_overdue(state::time_point now)
{
    std::erase_if(m_closing,
                  [this, now](auto const& closing)
                  {
                      auto const found = m_streams.find(closing.first);
                      bool const overdue =
                          now - closing.second >= max_close_time;
                      if (found != m_streams.end() && overdue)
                      {
                          found->second->close();
                      }
                      return found == m_streams.end() || overdue;
                  });
}

void member_link::open(coordination::connection_id connection)
{
    m_streams[connection.m_generation] = m_client->connect(
        [events = m_events, index = m_index, connection](auto const& reply)
        {
            if (auto const target = events.lock())
            {
                target->on_reply(index, connection, reply);
            }
        },
        [events = m_events, index = m_index, connection](auto const&)
        {
            if (auto const target = events.lock())
            {
                target->on_connection_closed(index, connection);
            }
        });
}

std::optional<coordination::connection_id>
member_link::acquire(state::time_point now)
{
    return m_pool.acquire(now);
}

void member_link::send(coordination::connection_id connection,
                       endpoint::v1::Statement message,
                       awaited_answer const& awaited)
{
    message.set_request(m_pool.next_request(connection));
    message.set_probe(m_probe);
    m_probe_due.reset();
    m_awaited[connection.m_generation] = awaited;
    m_streams.at(connection.m_generation)->send(std::move(message));
}

std::optional<awaited_answer>
member_link::match_answer(coordination::connection_id connection,
                          std::uint64_t request)
{
    auto const found = m_awaited.find(connection.m_generation);
    if (found == m_awaited.end() || !m_pool.match_answer(connection, request))
    {
        return std::nullopt;
    }
    auto const awaited = found->second;
    m_awaited.erase(found);
    return awaited;
}

void member_link::release(coordination::connection_id connection,
                          state::time_point now)
{
    m_pool.release(connection, now);
}

void member_link::abandon(coordination::connection_id connection)
{
    m_awaited.erase(connection.m_generation);
    m_pool.abandon(connection);
    m_changed = true;
}

void member_link::opened(coordination::connection_id connection,
                         state::time_point now)
{
    m_pool.opened(connection, now);
    m_changed = true;
}

std::optional<awaited_answer>
member_link::lost(coordination::connection_id connection, state::time_point now)
{
    m_pool.lost(connection, now);
    m_changed = true;
    m_streams.erase(connection.m_generation);
    auto const found = m_awaited.find(connection.m_generation);
    if (found == m_awaited.end())
    {
        return std::nullopt;
    }
    auto const awaited = found->second;
    m_awaited.erase(found);
    return awaited;
}

bool member_link::note_status(state::member_status const& status,
                              coordination::freshness const& samples,
                              state::time_point now)
{
    if (!std::exchange(m_reachable, true))
    {
        m_pool.endpoint_recovered();
        m_changed = true;
    }
    if (status.m_granted < m_status.m_granted)
    {
        return false;
    }
    m_lag.note_applied(status.m_applied.m_index, samples, now);
    if (auto const probe_sent_at = samples.probe_sent(status.m_probe))
    {
        m_pool.note_report(status.m_connections, status.m_connection_limit,
                           *probe_sent_at);
    }
    auto const probe = std::max(m_status.m_probe, status.m_probe);
    m_status = status;
    m_status.m_probe = probe;
    return true;
}

void member_link::probe(std::uint64_t number, bool urgent,
                        state::time_point now)
{
    bool const is_frequent = now - m_probed_at < urgent_interval;
    m_probe = number;
    m_probed_at = now;
    m_probe_due = m_probe_due.value_or(now + max_probe_delay);
    if (urgent || is_frequent)
    {
        send_probe();
    }
}

void member_link::send_probe()
{
    if (!m_observation)
    {
        return;
    }
    m_probe_due.reset();
    endpoint::v1::Probe message;
    message.set_probe(m_probe);
    m_observation->send(std::move(message));
}

void member_link::observation_lost()
{
    m_observation.reset();
    m_reachable = false;
}

void member_link::note_answer(coordination::answer_quality quality,
                              state::duration latency, state::time_point now)
{
    m_health.note_answer(quality, latency, now);
}

coordination::member_view member_link::view(state::duration peer_latency,
                                            state::time_point now) const
{
    coordination::member_view result;
    result.m_role = m_status.m_role;
    result.m_applied = m_status.m_applied.m_index;
    result.m_lag = m_lag.expected();
    result.m_latency = m_health.latency();
    result.m_outstanding = static_cast<std::uint32_t>(m_pool.busy());
    result.m_free_connections = static_cast<std::uint32_t>(m_pool.idle());
    result.m_slots = std::max<std::uint32_t>(1, m_status.m_slots);
    result.m_share =
        m_health.probe_due(now) ? 1.0 : m_health.share(peer_latency);
    result.m_reachable = m_reachable;
    result.m_leaving = m_status.m_leaving || m_description.m_leaving;
    return result;
}

void member_link::note_sent_read(state::time_point now)
{
    if (m_health.ejected())
    {
        m_health.note_probe(now);
    }
}

void member_link::close()
{
    for (auto const& [generation, stream] : m_streams)
    {
        stream->close();
    }
    if (m_observation)
    {
        m_observation->close();
    }
}

} // namespace camphortide::transport
