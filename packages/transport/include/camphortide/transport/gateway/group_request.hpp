#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include <camphortide/state/clock.hpp>
#include <camphortide/state/log_position.hpp>
#include <camphortide/state/outcome.hpp>

namespace camphortide::transport
{

/// What a request asks of a database group.
enum class request_kind
{
    read,
    write,
    resolve ///< find out what became of a request key
};

/// A checked request on its way to a home of its group.
struct group_request
{
    request_kind m_kind = request_kind::read;
    std::string m_entry;
    std::string m_group;
    std::string m_statement;
    std::string m_key; ///< with its owner, unique in the group
    bool m_idempotent = false;
    state::time_point m_deadline;
    std::optional<state::duration> m_max_age;
    std::optional<state::log_position> m_required; ///< from the token
    bool m_token_complete = true; ///< false: positions were left out
};

/// What became of a request at a home.
struct group_reply
{
    state::outcome m_outcome = state::outcome::not_executed;
    state::reason m_reason = state::reason::internal;
    std::string m_result;
    state::log_position m_position;
    std::string m_member;
    bool m_from_replica = false;
    bool m_replayed = false;
    state::duration m_age{};
    state::duration m_retry_after{};
    state::duration m_queue_wait{};
};

using reply_handler = std::function<void(group_reply)>;

} // namespace camphortide::transport
