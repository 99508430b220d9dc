#pragma once

#include <compare>
#include <string>

#include <camphortide/coordination/request/keyed_request.hpp>

namespace camphortide::coordination
{

/// What to do next for a transaction. Each part is done in this order.
struct transaction_step
{
    /// What to do with the connection that the transaction is bound to.
    enum class connection_use
    {
        keep,
        release, ///< the endpoint confirmed the end: pool it again
        close    ///< an answer may be outstanding: never pool it again
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

    /// What to tell the caller.
    enum class answer
    {
        none,
        step, ///< the outcome of the step; the transaction goes on
        final ///< the outcome of the transaction
    };

    connection_use m_connection = connection_use::keep;
    statement m_send = statement::none;
    answer m_answer = answer::none;
    request_result m_result;

    friend auto operator<=>(transaction_step const&,
                            transaction_step const&) = default;
};

/// One transaction, bound to one connection to_transaction_step begin to its
/// end. Until the commit is handed to the connection, the end of the connection
/// proves that the transaction has no effect.
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

    /// A transaction whose BEGIN is handed to a connection in a term.
    /// @param key of the commit, with its owner; empty if its outcome cannot
    ///     be asked for
    transaction(std::string key, state::term term, deadline end);

    /// Takes a statement of the caller.
    /// @return EXECUTE to be sent; bad_request unless the transaction is open
    transaction_step execute();

    /// Takes the caller's wish to commit. The commit counts as sent.
    transaction_step commit();

    /// Takes the caller's wish to roll back.
    transaction_step roll_back();

    /// Takes the member's answer to the statement that is outstanding.
    transaction_step answered(keyed_answer const& answer, log_view const& log);

    /// Takes the loss of the bound connection, or of the one that RESOLVE
    /// was sent on.
    transaction_step connection_lost();

    /// Notes that RESOLVE is handed to a connection.
    void note_resolve_sent(state::term term);

    /// Takes a change of the primary's log, or of the primary.
    transaction_step log_changed(log_view const& log);

    /// Takes the end of the caller's stream. A commit that was sent goes on
    /// until its answer or the deadline.
    transaction_step caller_left();

    /// Takes the passing of time.
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
    bool m_final_answered = false; ///< the caller has its final answer, or left
};

} // namespace camphortide::coordination
