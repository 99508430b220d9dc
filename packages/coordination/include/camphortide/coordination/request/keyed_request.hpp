#pragma once

#include <compare>
#include <string>

#include <camphortide/coordination/request/deadline.hpp>
#include <camphortide/coordination/request/log_view.hpp>
#include <camphortide/coordination/request/statement_code.hpp>
#include <camphortide/state/outcome.hpp>

namespace camphortide::coordination
{

/// A member's answer to WRITE, COMMIT or RESOLVE.
struct keyed_answer
{
    statement_code m_code = statement_code::failed;
    state::log_position m_position; ///< of the record with the key
    bool m_replayed = false;

    friend auto operator<=>(keyed_answer const&, keyed_answer const&) = default;
};

/// The result of a request as it is reported to the caller.
struct request_result
{
    state::outcome m_outcome = state::outcome::unknown;
    state::reason m_reason = state::reason::none;
    state::log_position m_position; ///< of the effect; the token covers it
    bool m_replayed = false;        ///< the key had run before

    friend auto operator<=>(request_result const&,
                            request_result const&) = default;
};

/// What to do next for a keyed request.
struct keyed_step
{
    enum class action
    {
        none, ///< wait for the next input
        /// Send the request, which did not run, to the current primary. If that
        /// member just refused it, wait for the next status first.
        send,
        /// Send RESOLVE with the key to the current primary. If that member
        /// just refused it, wait for the next status first.
        resolve,
        finish ///< report m_result to the caller
    };

    action m_action = action::none;
    request_result m_result;

    friend auto operator<=>(keyed_step const&, keyed_step const&) = default;
};

/// Tracks one write, commit or outcome query until its outcome is known or its
/// caller stops waiting. A request is sent again only after proof that the
/// previous attempt did not run.
class keyed_request
{
public:
    enum class phase
    {
        waiting,   ///< cannot have run
        sent,      ///< may have run
        unsafe,    ///< the outcome is in a log record that is not safe yet
        lost,      ///< may have run, and no answer is expected
        resolving, ///< the answer to RESOLVE is outstanding
        done
    };

    /// Creates a write or commit that has not been sent.
    /// @param key the key scoped by its customer; empty if the outcome cannot
    ///     be queried
    /// @param end when the caller stops waiting
    static keyed_request write(std::string key, deadline end);

    /// Creates a query for the outcome of a key that any instance may have
    /// sent.
    /// @param key the key scoped by its customer
    /// @param end when the caller stops waiting
    static keyed_request outcome_query(std::string key, deadline end);

    /// Records that the request, or RESOLVE, is handed to a connection. Has to
    /// be called before that.
    /// @param term the term that the statement carries
    void note_sent(state::term term);

    /// Handles the answer of the member.
    keyed_step answered(keyed_answer const& answer, log_view const& log);

    /// Handles the loss of the connection that the request was sent on.
    keyed_step connection_lost();

    /// Handles a change of the primary's log. A request that was sent in an
    /// earlier term is resolved in the new one; the caller of this function has
    /// to close its connection.
    keyed_step log_changed(log_view const& log);

    /// Ends the request because its caller no longer waits or it is refused.
    /// @param why the reason to report
    keyed_step abandon(state::reason why);

    phase current_phase() const { return m_phase; }
    std::string const& key() const { return m_key; }
    deadline const& end() const { return m_end; }
    /// @return in the unsafe phase, the record that must become safe
    state::log_position const& position() const { return m_position; }

private:
    keyed_request(std::string key, deadline end, phase start);

    bool outstanding() const;
    keyed_step answered_by_record(keyed_answer const& answer,
                                  log_view const& log);
    keyed_step answered_without_record(statement_code code);
    keyed_step start_resolve();
    keyed_step finish(state::outcome outcome, state::reason why);

    std::string m_key;
    deadline m_end;
    phase m_phase;
    state::term m_sent_term; ///< term of the last statement sent
    state::log_position m_position;
    bool m_executed = false; ///< outcome in the record, in the unsafe phase
    bool m_replayed = false;
};

} // namespace camphortide::coordination
