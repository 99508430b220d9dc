#pragma once

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

#include <camphortide/coordination/group/group_action.hpp>
#include <camphortide/coordination/request/probe_schedule.hpp>
#include <camphortide/endpoint/v1/member.pb.h>
#include <camphortide/state/group_description.hpp>
#include <camphortide/transport/gateway/answer_dispatch.hpp>
#include <camphortide/transport/gateway/gateway_policy.hpp>
#include <camphortide/transport/gateway/group_core.hpp>
#include <camphortide/transport/gateway/member_link.hpp>
#include <camphortide/transport/gateway/read_service.hpp>
#include <camphortide/transport/gateway/share_control.hpp>
#include <camphortide/transport/gateway/status_change_queue.hpp>
#include <camphortide/transport/gateway/transaction_service.hpp>
#include <camphortide/transport/gateway/write_service.hpp>

namespace camphortide::transport
{

/// State of one member as this home reports it to operators.
struct member_report
{
    state::member_status m_status;
    std::uint32_t m_budget = 0;
    std::uint32_t m_idle = 0;
    std::uint32_t m_busy = 0;
    bool m_reachable = false;
};

/// State of one group as this home reports it to operators.
struct group_report
{
    std::vector<member_report> m_members;
    std::optional<coordination::group_primary> m_primary;
    std::uint64_t m_safe = 0;
    std::uint32_t m_queued = 0;
};

/// Serves the requests for one database group over the connections that this
/// instance holds to its members. May be used from any thread.
class group_gateway final : public member_events,
                            public std::enable_shared_from_this<group_gateway>
{
public:
    using status_handler = std::function<void(state::member_status const&)>;
    using member_handler = std::function<void(std::string const& member)>;

    /// Must be created with make_shared, then started, and closed before the
    /// last reference is released.
    /// @param group describes the members
    /// @param on_status called on any thread with each status that is relevant
    ///     to a change of the primary
    /// @param on_unreachable called on any thread for each member whose
    ///     observation stream broke or could not be opened
    /// @param policy other than the default only for measurements
    group_gateway(state::group_description group, status_handler on_status,
                  member_handler on_unreachable = {},
                  gateway_policy const& policy = {});
    ~group_gateway() override;
    group_gateway(group_gateway const&) = delete;
    group_gateway& operator=(group_gateway const&) = delete;

    /// Connects to the members.
    /// @param authority_file PEM file with the certificate authority of the
    ///     members' certificates; empty: no TLS
    void start(std::string const& authority_file = {});

    /// Closes every connection and ends every request that has no answer yet.
    /// Returns when no handler is running. Must not be called by a handler.
    void close();

    /// Runs a function on this home's shares of the limits, under the gateway's
    /// mutex.
    void with_shares(std::function<void(share_control&)> const& function);

    /// Marks members as leaving: they get no new requests. All other members
    /// are marked as not leaving.
    void set_leaving(std::vector<std::string> const& members);

    /// Sets the primary to send writes to; without one, writes wait.
    void set_primary(std::optional<coordination::group_primary> primary);

    /// Pauses or resumes the sending of new writes and transactions.
    void pause_writes(bool paused);

    /// @return true if no write that was sent and no transaction is outstanding
    bool writes_drained() const;

    /// @return true if no request is in progress
    bool idle() const;

    /// Runs a request.
    /// @param done called once, on any thread
    void submit(group_request request, reply_handler done);

    /// Sends a probe to a member.
    /// @param number number of the probe round; increases from round to round
    void probe(std::string_view member, std::uint64_t number);

    /// @return the interval between probes that the maximum ages of recent
    ///     requests require; zero while an answer is held until the next probe;
    ///     duration::max() if no probes are required
    state::duration probe_interval();

    /// @return the client of a member; null if there is no such member. Valid
    ///     for the gateway's lifetime
    member_client* client(std::string_view member);

    /// Performs due work: opens and closes connections, expires requests.
    void tick(state::time_point now);

    /// @return the state for operators
    group_report report() const;

    /// @return the group's name
    std::string const& name() const { return m_group.m_name; }
    state::group_description const& group() const { return m_group; }

private:
    void on_reply(std::size_t member, coordination::connection_id connection,
                  endpoint::v1::StatementReply const& reply) override;
    void on_connection_closed(std::size_t member,
                              coordination::connection_id connection) override;
    void on_status(std::size_t member,
                   endpoint::v1::MemberStatus const& status) override;
    void on_observation_closed(std::size_t member) override;

    /// Runs a function under the mutex, then advances the services. Runs the
    /// resulting handlers after the mutex is released.
    template <typename Function>
    void run_locked(Function const& function);
    void advance();
    void admit(group_operation& operation);
    void start(group_operation& operation);
    void note_status(std::size_t member, state::member_status const& status);

    state::group_description const m_group;
    status_handler const m_on_status;
    member_handler const m_on_unreachable;
    mutable std::mutex m_mutex;
    group_core m_core;
    read_service m_reads;
    write_service m_writes;
    transaction_service m_transactions;
    share_control m_shares;
    answer_dispatch m_answers;
    status_change_queue m_status_changes;
    std::uint64_t m_last_probe = 0;
    coordination::probe_schedule m_probe_schedule;
    std::size_t m_handler_threads = 0; ///< threads that still run handlers
    std::condition_variable m_handlers_done;
    bool m_closed = false;
};

} // namespace camphortide::transport
