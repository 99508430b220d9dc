#pragma once

#include <compare>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <camphortide/state/log_position.hpp>

namespace camphortide::state
{

/// Why a statement did not succeed.
enum class statement_error
{
    busy,              ///< not run: no slot
    aborted,           ///< its transaction is rolled back
    lagging,           ///< not run: the log lacks the asked position
    read_only,         ///< not run: the member is no primary
    misrouted,         ///< not run: another member or group answers here
    overload,          ///< not run: too many connections
    in_doubt,          ///< may have run
    timed_out,         ///< may have run
    failed,            ///< has run without success
    malformed,         ///< not run: not understood here
    no_such_database,  ///< not run
    no_such_statement, ///< not run: no such prepared statement
};

/// @return the error's name for logs and metrics
std::string_view to_string(statement_error error);

/// A failure as it is told to a caller.
struct statement_failure
{
    statement_error m_error = statement_error::failed;
    std::string m_text;

    friend auto operator<=>(statement_failure const&,
                            statement_failure const&) = default;
};

/// The state of a session between two statements.
enum class session_phase
{
    idle,
    in_transaction,
    failed_transaction
};

/// The whole answer to one statement.
struct statement_reply
{
    std::vector<std::string> m_rows;
    std::optional<statement_failure> m_failure; ///< nothing: success
    std::string m_signature; ///< the member's proof that it ran the statement
    session_phase m_phase = session_phase::idle;
    std::optional<log_position> m_position; ///< of the log that it ran on

    /// @return true unless it failed
    bool ok() const { return !m_failure; }

    friend auto operator<=>(statement_reply const&,
                            statement_reply const&) = default;
};

} // namespace camphortide::state
