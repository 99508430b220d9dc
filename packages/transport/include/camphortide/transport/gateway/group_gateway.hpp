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

/// What operators see of one member at this home.
struct member_report
{
    state::member_status m_status;
    std::uint32_t m_budget = 0;
    std::uint32_t m_idle = 0;
    std::uint32_t m_busy = 0;
    bool m_reachable = false;
};

/// What operators see of one group at this home.
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

    /// Made by make_shared, then started, and closed before it is let go.
    /// @param group describes the members
    /// @param on_status is told of each change that matters to the change of
    ///     primary, on any thread
    /// @param on_unreachable is told of each member awaited observation stream
    ///     broke or could not be opened, on any thread
    /// @param policy the default but for measurements
    group_gateway(state::group_description group, status_handler on_status,
                  member_handler on_unreachable = {},
                  gateway_policy const& policy = {});
    ~group_gateway() override;
    group_gateway(group_gateway const&) = delete;
    group_gateway& operator=(group_gateway const&) = delete;

    /// Connects to the members.
    /// @param authority_file PEM of the authority that the members'
    ///     certificates must come from; empty: no TLS
    void start(std::string const& authority_file = {});

    /// Closes every connection. What has no answer yet ends. Returns when no
    /// handler runs any more. Must not be called by a handler.
    void close();

    /// Runs a function on this home's shares of the limits, under the lock.
    void with_shares(std::function<void(share_control&)> const& function);

    /// Marks members as leaving: they get no new operation.
    void set_leaving(std::vector<std::string> const& members);

    /// Sets the primary to use for writes; none holds them back.
    void set_primary(std::optional<coordination::group_primary> primary);

    /// Holds new writes and transactions back, or admits them again.
    void pause_writes(bool paused);

    /// @return true if no write or transaction has been sent without an end
    bool writes_drained() const;

    /// @return true if no request is under way
    bool idle() const;

    /// Runs a request.
    /// @param done is called once, on any thread
    void submit(group_request request, reply_handler done);

    /// Sends a probe to a member.
    /// @param number rises from round to round
    void probe(std::string_view member, std::uint64_t number);

    /// @return the time wanted between two probes for the ages that recent
    ///     requests allow; zero while an answer is held for the next one;
    ///     duration::max() if nothing asks for probes
    state::duration probe_interval();

    /// @return the client of a member; null if there is no such member.
    ///     Lives as long as the gateway
    member_client* client(std::string_view member);

    /// Does what is due: opens connections, expires requests.
    void tick(state::time_point now);

    /// @return what operators see
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

    /// Runs a function under the mutex, then what it left to do.
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
    std::size_t m_handler_threads = 0; ///< threads with handlers to run
    std::condition_variable m_handlers_done;
    bool m_closed = false;
};

} // namespace camphortide::transport
