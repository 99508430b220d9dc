#pragma once

#include <compare>
#include <string>

#include <camphortide/coordination/request/deadline.hpp>
#include <camphortide/coordination/request/log_view.hpp>
#include <camphortide/coordination/request/statement_code.hpp>
#include <camphortide/state/outcome.hpp>

namespace camphortide::coordination
{

/// A member's answer to a write, a commit or a resolve.
struct keyed_answer
{
    statement_code m_code = statement_code::failed;
    state::log_position m_position; ///< of the record with the key
    bool m_replayed = false;

    friend auto operator<=>(keyed_answer const&, keyed_answer const&) = default;
};

/// What became of a request.
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
        /// send the request, which did not run, to the current primary; after
        /// the next status if that is the one that refused it
        send,
        /// send RESOLVE with the key to the current primary; after the next
        /// status if that is the one that refused it
        resolve,
        finish ///< tell the caller m_result
    };

    action m_action = action::none;
    request_result m_result;

    friend auto operator<=>(keyed_step const&, keyed_step const&) = default;
};

/// The life of one write, commit or outcome_query about a key, until its
/// outcome is known or its caller stops waiting. The request is sent at most
/// once for each proof that it did not run.
class keyed_request
{
public:
    enum class phase
    {
        waiting,   ///< cannot have run
        sent,      ///< may have run
        unsafe,    ///< a record tells; it is not known to be safe
        lost,      ///< may have run, and no answer will come
        resolving, ///< RESOLVE is on its way
        done
    };

    /// A write or commit that is not sent yet.
    /// @param key with its owner; empty if its outcome cannot be asked for
    static keyed_request write(std::string key, deadline end);

    /// A outcome_query about a key that some instance may have sent.
    static keyed_request outcome_query(std::string key, deadline end);

    /// Notes that the request, or RESOLVE, was handed to a connection. Call
    /// it before the hand-over.
    /// @param term the one that the statement names
    void note_sent(state::term term);

    /// Takes the answer of the member.
    keyed_step answered(keyed_answer const& answer, log_view const& log);

    /// Takes the loss of the connection that the request was sent on.
    keyed_step connection_lost();

    /// Takes a change of the primary's log. One that was sent in an earlier
    /// term is resolved in the new one; its connection is to be closed.
    keyed_step log_changed(log_view const& log);

    /// Ends the wait of the caller.
    /// @param why the reason that the caller is told
    keyed_step abandon(state::reason why);

    phase current_phase() const { return m_phase; }
    std::string const& key() const { return m_key; }
    deadline const& end() const { return m_end; }
    /// @return the record that must become safe, in the unsafe phase
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
    state::term m_sent_term; ///< of the last statement that was sent
    state::log_position m_position;
    bool m_executed = false; ///< what the record tells, in the unsafe phase
    bool m_replayed = false;
};

} // namespace camphortide::coordination
