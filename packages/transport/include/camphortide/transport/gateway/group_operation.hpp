#pragma once

#include <chrono>
#include <cstdint>

#include <camphortide/coordination/limits/admission_types.hpp>
#include <camphortide/coordination/request/connection_pool.hpp>
#include <camphortide/coordination/request/read_attempts.hpp>
#include <camphortide/coordination/request/read_requirement.hpp>
#include <camphortide/transport/gateway/group_request.hpp>

namespace camphortide::transport
{

/// A request that a home works on.
struct group_operation
{
    using steady_time = std::chrono::steady_clock::time_point;

    std::uint64_t m_id = 0;
    group_request m_request;
    reply_handler m_done;
    group_reply m_reply; ///< what is known so far
    coordination::read_requirement m_requirement;
    steady_time m_arrived;
    coordination::slot_class m_slot_class = coordination::slot_class::primary;
    bool m_outstanding = false; ///< a statement of it has no answer
    /// a write or commit of it was sent and is not proved not to have run
    bool m_may_have_run = false;
    bool m_is_waiting = false; ///< for a member or a connection
    std::size_t m_member = 0;  ///< that the statement was sent to
    coordination::connection_id m_connection;
    bool m_timed_wait = false; ///< for time to pass, not for a connection
    coordination::read_attempts m_attempts{coordination::deadline()};
    state::time_point
        m_attempt_deadline;   ///< of the attempt that is outstanding
    bool m_resolving = false; ///< RESOLVE is sent in place of the write
};

} // namespace camphortide::transport
