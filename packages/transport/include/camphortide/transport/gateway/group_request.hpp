#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include <camphortide/state/clock.hpp>
#include <camphortide/state/outcome.hpp>
#include <camphortide/state/session_token.hpp>

namespace camphortide::transport
{

/// What a database group is to do for a request.
enum class request_kind
{
    read,
    write,
    resolve, ///< query the outcome of a request key
    begin,   ///< open a transaction
    execute, ///< run a statement in a transaction
    commit,
    roll_back,
    leave ///< a transaction's caller has ended the stream
};

/// A checked request on its way to a home of its group.
struct group_request
{
    request_kind m_kind = request_kind::read;
    std::string m_entry;
    std::string m_group;
    std::string m_statement;
    std::string m_key; ///< scoped by its customer; unique in the group
    bool m_idempotent = false;
    state::time_point m_deadline;
    std::optional<state::duration> m_max_age;
    state::session_token m_token; ///< only this group's position is used
    std::string m_transaction;    ///< names an open transaction
    std::string m_home;           ///< the home that holds the transaction
    std::string m_forwarded_by;   ///< empty if it was not forwarded
    std::uint32_t m_hops = 0;     ///< number of instances that forwarded it
    state::duration m_delivery_time{}; ///< of an answer to the caller
};

/// The result of a request at a home.
struct group_reply
{
    state::outcome m_outcome = state::outcome::not_executed;
    state::reason m_reason = state::reason::internal;
    std::string m_result;
    state::log_position m_position;
    std::string m_member;
    std::string m_home;
    bool m_from_replica = false;
    bool m_replayed = false;
    std::optional<state::duration> m_age; ///< upper bound, of a read's data
    state::duration m_retry_after{};
    std::chrono::microseconds m_queue_wait{};
};

/// Builds the reply to a request that did not succeed.
/// @param outcome not executed or unknown
/// @param reason the cause
/// @param retry_after when the caller should retry; zero for no hint
group_reply failed_reply(state::outcome outcome, state::reason reason,
                         state::duration retry_after = {});

using reply_handler = std::function<void(group_reply)>;

} // namespace camphortide::transport
