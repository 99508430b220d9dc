#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

#include <camphortide/coordination/group/group_action.hpp>
#include <camphortide/coordination/limits/admission.hpp>
#include <camphortide/coordination/request/freshness.hpp>
#include <camphortide/coordination/request/log_tracker.hpp>
#include <camphortide/transport/gateway/group_operation.hpp>
#include <camphortide/transport/gateway/member_link.hpp>

namespace camphortide::transport
{

/// State that the services of one group share: the members, the observed state
/// of the log, the requests in progress and the admission to slots. Guarded by
/// the gateway's mutex.
class group_core
{
public:
    using completion = std::function<void()>;

    /// @param members number of members of the group
    /// @param voters number of members whose majority makes a record safe
    group_core(std::size_t members, std::size_t voters)
        : m_freshness(members),
          m_log(voters)
    {
    }

    /// @return the member to send writes to; null if there is none
    member_link* primary();

    /// @return the primary's index in m_members
    std::optional<std::size_t> primary_index() const;

    /// @return true if new writes and transactions may be sent
    bool admits_writes() const { return m_primary.has_value() && !m_paused; }

    /// Adds a request.
    group_operation& add(group_request request, reply_handler done);

    /// @return the request; null if it has ended
    group_operation* find(std::uint64_t id);

    /// Releases the slot of a request.
    /// @param sent when its statement was sent; nothing if the time is not to
    ///     count as the cost of the request
    void release_slot(std::uint64_t id,
                      std::optional<group_operation::steady_time> sent);

    /// Ends a request. Its handler runs after the mutex is released.
    void complete(group_operation& operation, group_reply reply);

    /// Queues the newly admitted requests to be started, and ends the
    /// refused ones.
    void
    apply_admission_changes(coordination::admission_changes const& changes);

    /// @return the views of all members for read routing
    std::vector<coordination::member_view> views() const;

    /// @return a pseudo-random number that differs with each call
    std::uint64_t random();

    /// @return the time since start, in whole milliseconds
    static state::duration elapsed_since(group_operation::steady_time start);

    std::vector<std::unique_ptr<member_link>> m_members;
    coordination::freshness m_freshness;
    coordination::log_tracker m_log;
    coordination::admission m_admission{coordination::priority_rule::strict};
    std::optional<coordination::group_primary> m_primary;
    bool m_paused = false;
    std::size_t m_writes_sent = 0; ///< writes sent that have no answer yet
    state::time_point m_now;
    std::vector<completion> m_completions; ///< run without the mutex
    std::vector<std::uint64_t> m_admitted; ///< to be started
    std::unordered_map<std::uint64_t, std::unique_ptr<group_operation>>
        m_operations;

private:
    std::uint64_t m_last_id = 0;
    std::uint64_t m_random = 0;
};

} // namespace camphortide::transport
