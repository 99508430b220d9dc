#pragma once

#include <cstdint>
#include <deque>

#include <camphortide/coordination/request/key_registry.hpp>
#include <camphortide/coordination/request/write_tracker.hpp>
#include <camphortide/transport/gateway/group_core.hpp>

namespace camphortide::transport
{

/// Runs the writes and the outcome queries of one group. Sends a write again
/// only with proof that the previous attempt did not run.
class write_service
{
public:
    /// @param core outlives this
    explicit write_service(group_core& core);

    /// Sends an admitted write or outcome query, or queues it until it can be
    /// sent.
    void start(group_operation& operation);

    /// Handles the primary's answer.
    void answered(group_operation& operation,
                  endpoint::v1::StatementReply const& reply);

    /// Handles the loss of the connection that a write was sent on.
    void connection_lost(group_operation& operation);

    /// Handles changes of the log, and sends waiting writes.
    void advance();

    /// Ends writes that have reached their deadline.
    void expire();

    /// @return the number of writes that wait for a primary or a connection
    std::size_t waiting() const { return m_waiting.size(); }

private:
    bool conflicts(group_operation const& operation);
    void apply(std::uint64_t id, coordination::keyed_step const& step);
    void finish(group_operation& operation,
                coordination::request_result const& result);
    bool send(group_operation& operation);
    void wait(group_operation& operation);

    group_core& m_core;
    coordination::write_tracker m_tracker;
    coordination::key_registry m_keys;
    std::deque<std::uint64_t> m_waiting;
    coordination::log_view m_last_log_view;
};

/// @return a member's answer in the form that write_tracker and transaction
///     evaluate
coordination::keyed_answer
to_keyed_answer(endpoint::v1::StatementReply const& reply);

} // namespace camphortide::transport
