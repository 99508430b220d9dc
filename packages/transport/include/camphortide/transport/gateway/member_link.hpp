#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include <camphortide/coordination/request/apply_lag.hpp>
#include <camphortide/coordination/request/connection_pool.hpp>
#include <camphortide/coordination/request/endpoint_health.hpp>
#include <camphortide/coordination/request/member_view.hpp>
#include <camphortide/endpoint/v1/member.pb.h>
#include <camphortide/state/group_description.hpp>
#include <camphortide/state/member_status.hpp>
#include <camphortide/transport/gateway/member_client.hpp>

namespace camphortide::transport
{

/// Receives events from the members of a group. Called on gRPC's threads.
class member_events
{
public:
    virtual ~member_events() = default;

    /// Called for each message received on a connection.
    virtual void on_reply(std::size_t member,
                          coordination::connection_id connection,
                          endpoint::v1::StatementReply const& reply) = 0;

    /// Called when a connection has ended.
    virtual void
    on_connection_closed(std::size_t member,
                         coordination::connection_id connection) = 0;

    /// Called for each status received on the observation stream.
    virtual void on_status(std::size_t member,
                           endpoint::v1::MemberStatus const& status) = 0;

    /// Called when the observation stream has ended.
    virtual void on_observation_closed(std::size_t member) = 0;
};

/// The service and the request that an answer on a connection belongs to.
struct awaited_answer
{
    enum class service
    {
        read,
        write,
        transaction
    };

    service m_service = service::read;
    std::uint64_t m_operation = 0;
    std::chrono::steady_clock::time_point m_sent =
        std::chrono::steady_clock::now();
};

/// An instance's state for one member: the connections, the latest status and
/// the health. Not thread-safe.
class member_link
{
public:
    /// @param index the member's index in its group
    /// @param credentials credentials of the connections
    /// @param events receives the events; held weakly, so it may be destroyed
    ///     first
    member_link(state::member_description const& description, std::size_t index,
                std::shared_ptr<grpc::ChannelCredentials> const& credentials,
                std::weak_ptr<member_events> events);

    /// Sets this home's share of the member's connections.
    void set_allowance(coordination::share_allowance allowance);

    /// Opens and closes connections as the pool requires, opens the observation
    /// stream if there is none, and sends a due probe.
    void step(state::time_point now);

    /// @return true if step() has work to do
    bool needs_step(state::time_point now) const;

    /// Acquires an idle connection.
    /// @return nothing if no connection is idle
    std::optional<coordination::connection_id> acquire(state::time_point now);

    /// Sends a statement on an acquired connection.
    /// @param message the statement; its request number and probe number are
    ///     set here
    void send(coordination::connection_id connection,
              endpoint::v1::Statement message, awaited_answer const& awaited);

    /// Matches a received answer to the request that awaits it.
    /// @return nothing for a late or unexpected answer
    std::optional<awaited_answer>
    match_answer(coordination::connection_id connection, std::uint64_t request);

    /// Returns a connection without an outstanding answer to the pool.
    void release(coordination::connection_id connection, state::time_point now);

    /// Closes a connection that may have an answer outstanding.
    void abandon(coordination::connection_id connection);

    /// Records that a connection is open.
    void opened(coordination::connection_id connection, state::time_point now);

    /// Records that a connection has ended.
    /// @return the answer that was outstanding on it, if any
    std::optional<awaited_answer> lost(coordination::connection_id connection,
                                       state::time_point now);

    /// Records a status.
    /// @return false if its granted term is lower than that of the latest
    ///     status
    bool note_status(state::member_status const& status,
                     coordination::freshness const& samples,
                     state::time_point now);

    /// Schedules a probe. It is sent with the next statement, or on the
    /// observation stream if no statement follows soon.
    /// @param number increases from call to call
    /// @param urgent true to send it at once, which is also done if the
    ///     previous probe was scheduled shortly before
    void probe(std::uint64_t number, bool urgent, state::time_point now);

    void observation_lost();

    /// Counts the end of a request in the member's health.
    void note_answer(coordination::answer_quality quality,
                     state::duration latency, state::time_point now);

    /// @return the view of the member for read routing
    /// @param peer_latency mean latency of the group's other members
    coordination::member_view view(state::duration peer_latency,
                                   state::time_point now) const;

    /// Records a read sent to the member, which counts as a probe of its health
    /// while it is ejected.
    void note_sent_read(state::time_point now);

    /// Sets the number of requests that wait for a connection.
    void set_waiting(std::size_t requests);

    /// Cancels every connection and the observation stream.
    void close();

    state::member_description const& description() const
    {
        return m_description;
    }
    void set_leaving(bool leaving) { m_description.m_leaving = leaving; }
    state::member_status const& status() const { return m_status; }
    member_client& client() { return *m_client; }
    coordination::connection_pool const& pool() const { return m_pool; }
    bool reachable() const { return m_reachable; }
    /// @return the mean latency of requests, without queueing
    state::duration latency() const { return m_health.latency(); }

private:
    void open(coordination::connection_id connection);
    void observe();
    void send_probe();
    void cancel_overdue(state::time_point now);

    state::member_description m_description;
    std::size_t const m_index;
    std::weak_ptr<member_events> const m_events;
    std::unique_ptr<member_client> m_client;
    std::shared_ptr<member_observation> m_observation;
    coordination::connection_pool m_pool;
    coordination::endpoint_health m_health;
    coordination::apply_lag m_lag;
    std::unordered_map<std::uint64_t, std::shared_ptr<member_connection>>
        m_streams;
    std::unordered_map<std::uint64_t, awaited_answer> m_awaited;
    /// Generations of connections that the member has not ended yet, each with
    /// the time since when it is being closed.
    std::vector<std::pair<std::uint64_t, state::time_point>> m_closing;
    state::member_status m_status;
    std::size_t m_waiting = 0;
    std::uint64_t m_probe = 0;
    state::time_point m_probed_at{};
    std::optional<state::time_point> m_probe_due; ///< nothing: none to send
    coordination::share_allowance m_allowance;
    bool m_changed = true;
    bool m_reachable = false;
};

} // namespace camphortide::transport
