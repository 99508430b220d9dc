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
#include <camphortide/state/store_revision.hpp>

namespace camphortide::proxy
{

class home_link;

/// What a transaction is bound to: a connection of this instance to a member,
/// or a transaction that another instance holds on one of its connections.
struct bound_connection
{
    std::shared_ptr<home_link> m_home; ///< null: not at another instance
    std::uint64_t m_transaction = 0;   ///< its number at that home
    std::shared_ptr<member_pool> m_pool;
    std::shared_ptr<member_connection> m_connection;
    /// Of the record that permits to use the member as primary; the default
    /// value: it isn't used as such.
    state::store_revision m_permit_revision;
    std::uint64_t m_term = 0; ///< of the primary; 0: a replica is used

    bool uses_primary() const
    {
        return m_permit_revision != state::store_revision();
    }
};

/// Result of a statement.
struct statement_result
{
    state::statement_reply m_reply;
    /// What the transaction is bound to, if it stays open.
    std::optional<bound_connection> m_bound;
    /// Position of the commit, if the statement committed writes.
    std::optional<coordination::session_position> m_commit;
};

/// A statement to be run by a member, with the state of its execution.
struct statement_request
{
    using handler = std::function<void(statement_result)>;

    std::uint64_t m_number = 0;
    state::statement m_statement;
    std::string m_customer; ///< name; empty: the caller needs none
    std::optional<coordination::prepared_shape> m_shape; ///< for EXECUTE
    coordination::session_values
        m_values; ///< of the session, required to run it
    std::shared_ptr<state::configuration const> m_configuration;
    state::route const* m_route = nullptr; ///< in the configuration
    coordination::sent_kind m_kind = coordination::sent_kind::single_read;
    bool m_begins_transaction = false; ///< first one sent for its transaction
    bool m_read_only = false;          ///< its transaction reads only
    bool m_primary = true;             ///< only the primary may run it
    std::optional<coordination::session_position>
        m_last_commit;            ///< of the session
    state::time_point m_started;  ///< start of it or of its transaction
    state::time_point m_arrived;  ///< when it was received
    state::time_point m_deadline; ///< latest time for its answer
    std::optional<bound_connection> m_bound; ///< if its transaction is open
    handler m_done;

    /// Homes that were attempted and didn't run it, if it is forwarded.
    std::vector<std::string> m_attempted_homes;
    /// No home can be reached: an instance that stands in for them may run it.
    bool m_no_home = false;
    std::uint32_t m_attempted_members = 0; ///< bit i: member i
    /// Position that a replica must have applied, as of the choice of the
    /// member.
    std::optional<state::log_position> m_required_position;
    /// If it is sent to a member by then, its answer is likely to be in time.
    state::time_point m_send_by;
    /// While it waits: its best member is the primary.
    bool m_waits_for_primary = false;
    /// This instance had no other statement at the member when it was sent.
    bool m_sent_to_idle = false;
    bool m_waited_for_opening = false; ///< of a connection for its customer
    std::uint32_t m_send_count = 0;
    state::time_point m_sent_at;
    state::statement_error m_last_error = state::statement_error::busy;
};

} // namespace camphortide::proxy
