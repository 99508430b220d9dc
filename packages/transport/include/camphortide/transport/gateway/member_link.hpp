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

/// Receives what comes from the members of a group, on threads of gRPC.
class member_events
{
public:
    virtual ~member_events() = default;

    /// A message came on a connection.
    virtual void on_reply(std::size_t member,
                          coordination::connection_id connection,
                          endpoint::v1::StatementReply const& reply) = 0;

    /// A connection has ended.
    virtual void
    on_connection_closed(std::size_t member,
                         coordination::connection_id connection) = 0;

    /// A status came on the observation stream.
    virtual void on_status(std::size_t member,
                           endpoint::v1::MemberStatus const& status) = 0;

    /// The observation stream has ended.
    virtual void on_observation_closed(std::size_t member) = 0;
};

/// Which request an answer on a connection belongs to.
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

/// What an instance holds of one member: the connections, its latest status
/// and its health. Not thread-safe.
class member_link
{
public:
    /// @param index the member's place in its group
    /// @param credentials of the connections
    /// @param events outlived by nobody: held weakly
    member_link(state::member_description const& description, std::size_t index,
                std::shared_ptr<grpc::ChannelCredentials> const& credentials,
                std::weak_ptr<member_events> events);

    /// Sets the share of the member's connections.
    void set_allowance(coordination::share_allowance allowance);

    /// Opens and closes what the pool wants, and the observation stream.
    void step(state::time_point now);

    /// @return true if step has something to do
    bool needs_step(state::time_point now) const;

    /// Takes an idle connection.
    std::optional<coordination::connection_id> acquire(state::time_point now);

    /// Sends a statement on an acquired connection.
    /// @param message its request number is filled in
    void send(coordination::connection_id connection,
              endpoint::v1::Statement message, awaited_answer const& awaited);

    /// Finds awaited answer came.
    /// @return nothing for a late or unexpected one
    std::optional<awaited_answer>
    match_answer(coordination::connection_id connection, std::uint64_t request);

    /// Gives a clean connection back.
    void release(coordination::connection_id connection, state::time_point now);

    /// Closes a connection that may have an answer outstanding.
    void abandon(coordination::connection_id connection);

    /// Notes that a connection is open.
    void opened(coordination::connection_id connection, state::time_point now);

    /// Notes that a connection has ended.
    /// @return awaited answer was outstanding on it
    std::optional<awaited_answer> lost(coordination::connection_id connection,
                                       state::time_point now);

    /// Takes a status.
    /// @return false if it is older than the one held
    bool note_status(state::member_status const& status,
                     coordination::freshness const& samples,
                     state::time_point now);

    /// Takes a probe. It goes out with the next statement, or by itself on
    /// the observation stream if there is none soon.
    /// @param number rises from call to call
    /// @param urgent it goes out at once, as it also does if the one before
    ///     it was a short while ago
    void probe(std::uint64_t number, bool urgent, state::time_point now);

    void observation_lost();

    /// Counts the end of a request in the member's health.
    void note_answer(coordination::answer_quality quality,
                     state::duration latency, state::time_point now);

    /// @return what read routing knows of the member
    /// @param peer_latency mean latency of the group's other members
    coordination::member_view view(state::duration peer_latency,
                                   state::time_point now) const;

    /// Notes that a read went to the member while it was ejected.
    void note_sent_read(state::time_point now);

    /// Sets how many requests wait for a connection.
    void set_waiting(std::size_t requests);

    /// Closes everything.
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
    /// @return mean time of a request without a queue
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
    /// streams that the member has not ended yet, and since when
    std::vector<std::pair<std::uint64_t, state::time_point>> m_closing;
    state::member_status m_status;
    std::size_t m_waiting = 0;
    std::uint64_t m_probe = 0;
    state::time_point m_probed_at{};
    std::optional<state::time_point> m_probe_due; ///< none: it went out
    coordination::share_allowance m_allowance;
    bool m_changed = true;
    bool m_reachable = false;
};

} // namespace camphortide::transport
