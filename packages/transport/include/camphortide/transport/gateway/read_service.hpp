#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string_view>
#include <vector>

#include <camphortide/coordination/request/read_router.hpp>
#include <camphortide/coordination/request/retry_budget.hpp>
#include <camphortide/transport/gateway/group_core.hpp>

namespace camphortide::transport
{

/// Runs the reads of one group: routes them to members, checks the answers, and
/// retries on other members within the deadline and the retry budget.
class read_service
{
public:
    /// @param core outlives this
    /// @param strategy chooses the members
    read_service(group_core& core,
                 std::unique_ptr<coordination::read_strategy> strategy);

    /// Routes an admitted read.
    void start(group_operation& operation);

    /// Handles a member's answer.
    void answered(group_operation& operation, std::size_t member,
                  endpoint::v1::StatementReply const& reply);

    /// Handles the loss of the connection that a read was sent on.
    void connection_lost(group_operation& operation, std::size_t member);

    /// Expires outstanding attempts, checks held answers again, and routes
    /// waiting reads again.
    void advance();

    /// @return the number of reads that wait for a connection or a replica
    std::size_t waiting() const { return m_waiting.size(); }

    /// @return true while answers are held until a later probe or record
    bool has_held_answers() const { return !m_held.empty(); }

private:
    void route(group_operation& operation);
    void send(group_operation& operation, std::size_t member);
    void check(group_operation& operation);
    void retry(group_operation& operation,
               coordination::attempt_result const& result);
    void advance_outstanding();
    void wait(group_operation& operation, state::time_point until);
    void give_up(group_operation& operation, state::reason why);
    void advance_held();
    void advance_waiting();

    group_core& m_core;
    coordination::read_router m_router;
    coordination::retry_budget m_retries;
    std::vector<std::uint64_t> m_waiting; ///< to be routed again
    std::vector<std::uint64_t> m_held;    ///< answered, but the answer is held
    /// Outstanding attempts by the time when they time out.
    std::multimap<state::time_point, std::uint64_t> m_attempt_deadlines;
};

} // namespace camphortide::transport
