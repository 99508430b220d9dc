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

/// A request that a home is processing.
struct group_operation
{
    using steady_time = std::chrono::steady_clock::time_point;

    std::uint64_t m_id = 0;
    group_request m_request;
    reply_handler m_done;
    group_reply m_reply; ///< filled in until the request is complete
    coordination::read_requirement m_requirement;
    steady_time m_arrived;
    coordination::slot_class m_slot_class = coordination::slot_class::primary;
    bool m_outstanding = false; ///< a sent statement has no answer yet
    /// A write or commit of it was sent, and it is not proved that it did not
    /// run.
    bool m_may_have_run = false;
    bool m_is_waiting = false; ///< to be routed or sent again
    std::size_t m_member = 0;  ///< index of the member it was sent to
    coordination::connection_id m_connection;
    bool m_timed_wait = false; ///< until a given time, not for a connection
    coordination::read_attempts m_attempts{coordination::deadline()};
    state::time_point m_attempt_deadline; ///< of the outstanding attempt
    bool m_resolving = false; ///< RESOLVE is sent instead of the write
};

} // namespace camphortide::transport
