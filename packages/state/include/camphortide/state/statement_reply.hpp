#pragma once

#include <compare>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <camphortide/state/log_position.hpp>

namespace camphortide::state
{

/// Reason for the failure of a statement.
enum class statement_error
{
    busy,              ///< not run: no free slot
    aborted,           ///< its transaction was rolled back
    lagging,           ///< not run: log lacks the required position
    read_only,         ///< not run: the member is not a primary
    misrouted,         ///< not run: wrong member or group at this address
    overload,          ///< not run: too many connections
    in_doubt,          ///< may have run
    timed_out,         ///< may have run
    failed,            ///< has run and failed
    malformed,         ///< not run: could not be parsed
    no_such_database,  ///< not run
    no_such_statement, ///< not run: no such prepared statement
    unauthorized,      ///< not run: no customer holds the caller's key
};

/// @return the error's name as it is printed in logs and metrics
std::string_view to_string(statement_error error);

/// A failure as it is reported to a caller.
struct statement_failure
{
    statement_error m_error = statement_error::failed;
    std::string m_text;

    friend auto operator<=>(statement_failure const&,
                            statement_failure const&) = default;
};

/// Transaction state of a session between two statements.
enum class session_phase
{
    idle,
    in_transaction,
    failed_transaction
};

/// The complete reply to one statement.
struct statement_reply
{
    std::vector<std::string> m_rows;
    std::optional<statement_failure> m_failure; ///< empty: success
    std::string m_signature; ///< the member's proof that it ran the statement
    session_phase m_phase = session_phase::idle;
    std::optional<log_position> m_position; ///< in the group's log

    /// @return true if the statement succeeded
    bool ok() const { return !m_failure; }

    friend auto operator<=>(statement_reply const&,
                            statement_reply const&) = default;
};

} // namespace camphortide::state
