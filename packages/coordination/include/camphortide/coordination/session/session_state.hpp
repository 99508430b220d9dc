#pragma once

#include <compare>
#include <cstddef>
#include <map>
#include <optional>
#include <string>

#include <camphortide/state/statement.hpp>
#include <camphortide/state/statement_reply.hpp>

namespace camphortide::coordination
{

/// Text and kind of a prepared statement. Its name is local to one session.
struct prepared_shape
{
    bool m_write = false;
    std::string m_shape;

    friend auto operator<=>(prepared_shape const&,
                            prepared_shape const&) = default;
};

/// Session values by name.
using session_values = std::map<std::string, std::string, std::less<>>;

/// How to process a statement.
struct session_step
{
    /// The reply, if no member is needed.
    std::optional<state::statement_reply> m_answer;
    /// The transaction ends: a member that has begun it must roll it back.
    bool m_end_transaction = false;

    friend auto operator<=>(session_step const&, session_step const&) = default;
};

/// State of one caller's session: its values, its prepared statements and its
/// transaction. Replies to statements that need no member. A transaction is
/// begun at a member by the first of its statements that needs one.
class session_state
{
public:
    /// Maximum number of values, and of prepared statements, of a session. They
    /// are limited because a member's connection has to hold them all.
    static constexpr std::size_t max_entries = 256;

    /// Processes the caller's next statement.
    /// @return the reply, or that a member has to execute the statement
    session_step accept(state::statement const& statement);

    /// Processes the reply that the caller gets to a statement that needed a
    /// member, and sets the session's phase in it.
    void finish(state::statement const& statement,
                state::statement_reply& reply);

    /// Marks the open transaction as lost; the caller gets the error as the
    /// reply to its next statement.
    void lose_transaction();

    /// @return true if the statement, or the prepared statement that it
    ///     executes, may change data
    bool writes(state::statement const& statement) const;

    /// @return the prepared statement that EXECUTE names; nothing for other
    ///     statements and unknown names
    std::optional<prepared_shape>
    shape_of(state::statement const& statement) const;

    state::session_phase phase() const { return m_phase; }
    bool in_transaction() const
    {
        return m_phase == state::session_phase::in_transaction;
    }
    bool read_only() const { return m_read_only; }
    /// @return true if the open transaction may have changed data
    bool wrote() const { return m_wrote; }
    session_values const& values() const { return m_values; }

private:
    using handler = session_step (session_state::*)(state::statement const&);
    static handler handler_of(state::statement_kind kind);

    session_step begin(state::statement const& statement);
    session_step commit(state::statement const& statement);
    session_step roll_back(state::statement const& statement);
    session_step run(state::statement const& statement);
    session_step set_value(state::statement const& statement);
    session_step prepare(state::statement const& statement);
    session_step deallocate(state::statement const& statement);
    session_step reject(state::statement const& statement);

    session_step answer();
    session_step fail(state::statement_error error, std::string text);
    void end_transaction(state::session_phase next);

    state::session_phase m_phase = state::session_phase::idle;
    bool m_read_only = false;
    bool m_wrote = false;
    /// The transaction was lost by the system, and not failed by a statement.
    bool m_lost = false;
    session_values m_values;
    std::map<std::string, prepared_shape, std::less<>> m_prepared;
};

} // namespace camphortide::coordination
