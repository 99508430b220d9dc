#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <camphortide/coordination/placing/member_choice.hpp>
#include <camphortide/coordination/session/reply_decision.hpp>
#include <camphortide/coordination/session/session_state.hpp>
#include <camphortide/proxy/member_pool.hpp>
#include <camphortide/state/route.hpp>
#include <camphortide/state/statement.hpp>

namespace camphortide::proxy
{

class home_link;

/// What a transaction is bound to: a member's connection of this instance, or
/// a transaction that another instance keeps at one of its own.
struct bound_connection
{
    std::shared_ptr<home_link> m_home; ///< null: none of another instance
    std::uint64_t m_transaction = 0;   ///< its number there
    std::shared_ptr<member_pool> m_pool;
    std::shared_ptr<member_connection> m_connection;
    std::uint64_t m_permit_revision = 0; ///< 0: not used as the primary
    std::uint64_t m_term = 0;            ///< of the primary; 0: a replica
};

/// What came of a statement.
struct statement_result
{
    state::statement_reply m_reply;
    /// of a transaction that goes on
    std::optional<bound_connection> m_bound;
    /// the session's own commit, if it was one
    std::optional<coordination::session_position> m_commit;
};

/// A statement that a member has to run.
struct statement_request
{
    using handler = std::function<void(statement_result)>;

    std::uint64_t m_number = 0;
    state::statement m_statement;
    std::optional<coordination::prepared_shape> m_shape; ///< of EXECUTE
    coordination::session_values m_values; ///< that have to hold meanwhile
    std::shared_ptr<state::configuration const> m_configuration;
    state::route const* m_route = nullptr; ///< in the configuration
    coordination::sent_kind m_kind = coordination::sent_kind::single_read;
    bool m_begins_transaction =
        false;                ///< first of a transaction that a member needs
    bool m_read_only = false; ///< the transaction
    bool m_primary = true;    ///< only the primary may run it
    std::optional<coordination::session_position> m_last_commit; ///< own commit
    state::time_point m_started;  ///< first byte of it or its transaction
    state::time_point m_arrived;  ///< of this statement
    state::time_point m_deadline; ///< to be answered by then
    std::optional<bound_connection> m_bound; ///< of the open transaction
    handler m_done;

    /// homes that didn't run it, where this instance isn't one
    std::vector<std::string> m_attempted_homes;
    std::uint32_t m_attempted_members =
        0; ///< members that can't run it now, by index
    /// what a replica's log must hold, as when the member was chosen
    std::optional<state::log_position> m_required_position;
    std::uint32_t m_send_count = 0;
    state::time_point m_sent_at;
    std::unique_ptr<boost::asio::steady_timer>
        m_deadline_timer; ///< of the answer
    state::statement_error m_last_error = state::statement_error::busy;
};

} // namespace camphortide::proxy
