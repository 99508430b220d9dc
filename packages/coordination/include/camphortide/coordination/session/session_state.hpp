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

/// What a prepared statement does; its name belongs to one session.
struct prepared_shape
{
    bool m_write = false;
    std::string m_shape;

    friend auto operator<=>(prepared_shape const&,
                            prepared_shape const&) = default;
};

/// Values of a session by name.
using session_values = std::map<std::string, std::string, std::less<>>;

/// What to do with a statement.
struct session_step
{
    /// the answer, if no member is needed
    std::optional<state::statement_reply> m_answer;
    /// the transaction ends here: roll back what a member has of it
    bool m_end_transaction = false;

    friend auto operator<=>(session_step const&, session_step const&) = default;
};

/// One caller's session: its values, its prepared statements and its
/// transaction. Answers what needs no member. A transaction is begun at a
/// member by its first statement that needs one.
class session_state
{
public:
    /// Most values, and most prepared statements, of a session. A member's
    /// connection holds them all, so they are bounded.
    static constexpr std::size_t max_entries = 256;

    /// Takes the next statement.
    /// @return its answer, or that a member has to run it
    session_step accept(state::statement const& statement);

    /// Takes the answer that the caller gets to a statement that needed a
    /// member, and sets the phase in it.
    void finish(state::statement const& statement,
                state::statement_reply& reply);

    /// Notes that the open transaction can't go on; the caller learns it by
    /// the answer to its next statement.
    void lose_transaction();

    /// @return true if the statement, as prepared, may change data
    bool writes(state::statement const& statement) const;

    /// @return what EXECUTE runs; nothing for other statements
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
    bool m_lost = false; ///< failed by the system, not by a statement
    session_values m_values;
    std::map<std::string, prepared_shape, std::less<>> m_prepared;
};

} // namespace camphortide::coordination
