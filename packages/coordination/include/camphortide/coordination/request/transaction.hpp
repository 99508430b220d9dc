#pragma once

#include <compare>
#include <string>

#include <camphortide/coordination/request/keyed_request.hpp>

namespace camphortide::coordination
{

/// What to do next for a transaction. The members are handled in the order of
/// their declaration.
struct transaction_step
{
    /// What to do with the connection that the transaction is bound to.
    enum class connection_use
    {
        keep,
        release, ///< the endpoint confirmed the end: return it to the pool
        close    ///< an answer may be outstanding: never reuse it
    };

    /// What to send.
    enum class statement
    {
        none,
        begin,
        execute,
        commit,
        roll_back,
        resolve ///< on any connection to the current primary
    };

    /// What to report to the caller.
    enum class answer
    {
        none,
        step, ///< the outcome of the step; the transaction continues
        final ///< the outcome of the transaction
    };

    connection_use m_connection = connection_use::keep;
    statement m_send = statement::none;
    answer m_answer = answer::none;
    request_result m_result;

    friend auto operator<=>(transaction_step const&,
                            transaction_step const&) = default;
};

/// One transaction, bound to one connection from BEGIN to its end. Until the
/// commit is handed to the connection, the end of the connection proves that
/// the transaction has no effect.
class transaction
{
public:
    enum class phase
    {
        beginning,    ///< BEGIN is outstanding
        open,         ///< waits for the caller
        executing,    ///< EXECUTE is outstanding
        committing,   ///< COMMIT may have been sent; see keyed_request
        rolling_back, ///< ROLLBACK is outstanding
        done
    };

    /// Creates a transaction whose BEGIN is handed to a connection.
    /// @param key the key of the commit, scoped by its customer; empty if the
    ///     outcome cannot be queried
    /// @param term the term that BEGIN carries
    /// @param end the deadline of the whole transaction
    transaction(std::string key, state::term term, deadline end);

    /// Handles a statement of the caller.
    /// @return EXECUTE to be sent; bad_request unless the transaction is open
    transaction_step execute();

    /// Handles the caller's request to commit. From then on the commit counts
    /// as sent.
    transaction_step commit();

    /// Handles the caller's request to roll back.
    transaction_step roll_back();

    /// Handles the member's answer to the outstanding statement.
    transaction_step answered(keyed_answer const& answer, log_view const& log);

    /// Handles the loss of the bound connection, or of the one that RESOLVE was
    /// sent on.
    transaction_step connection_lost();

    /// Records that RESOLVE is handed to a connection.
    void note_resolve_sent(state::term term);

    /// Handles a change of the primary or of its log.
    transaction_step log_changed(log_view const& log);

    /// Handles the end of the caller's stream. A commit that was sent continues
    /// until its answer or the deadline.
    transaction_step caller_left();

    /// Ends the transaction if its deadline is reached.
    transaction_step expire(state::time_point now);

    phase current_phase() const { return m_phase; }
    keyed_request const& commit_request() const { return m_commit; }

private:
    using connection_use = transaction_step::connection_use;

    transaction_step refuse_step(state::reason why) const;
    transaction_step end_transaction(state::reason why, connection_use use);
    transaction_step start_rollback(state::reason why);
    transaction_step begun(statement_code code);
    transaction_step executed(statement_code code);
    transaction_step committed(keyed_answer const& answer, log_view const& log);
    transaction_step rolled_back(statement_code code);
    transaction_step to_transaction_step(keyed_step const& step,
                                         connection_use use);

    state::term m_term;
    keyed_request m_commit;
    phase m_phase = phase::beginning;
    bool m_bound = true; ///< still holds its connection
    state::reason m_end_reason = state::reason::none;
    /// The caller got the final answer, or left.
    bool m_final_answered = false;
};

} // namespace camphortide::coordination
