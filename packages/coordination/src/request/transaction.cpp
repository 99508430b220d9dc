#include <utility>

#include <camphortide/coordination/request/transaction.hpp>

namespace camphortide::coordination
{

using answer_kind = transaction_step::answer;
using connection_use = transaction_step::connection_use;
using sent = transaction_step::statement;
using state::outcome;
using state::reason;

transaction::transaction(std::string key, state::term term, deadline end)
    : m_term(term),
      m_commit(keyed_request::write(std::move(key), end))
{
}

transaction_step transaction::execute()
{
    if (m_phase != phase::open)
    {
        return refuse_step(reason::bad_request);
    }
    m_phase = phase::executing;
    return {connection_use::keep, sent::execute, answer_kind::none, {}};
}

transaction_step transaction::commit()
{
    if (m_phase != phase::open)
    {
        return refuse_step(reason::bad_request);
    }
    m_phase = phase::committing;
    m_commit.note_sent(m_term);
    return {connection_use::keep, sent::commit, answer_kind::none, {}};
}

transaction_step transaction::roll_back()
{
    if (m_phase != phase::open)
    {
        return refuse_step(reason::bad_request);
    }
    return start_rollback(reason::none);
}

transaction_step transaction::answered(keyed_answer const& answer,
                                       log_view const& log)
{
    switch (m_phase)
    {
    case phase::beginning:
        return begun(answer.m_code);
    case phase::executing:
        return executed(answer.m_code);
    case phase::committing:
        return committed(answer, log);
    case phase::rolling_back:
        return rolled_back(answer.m_code);
    case phase::open:
    case phase::done:
        break;
    }
    return {};
}

transaction_step transaction::connection_lost()
{
    if (m_phase == phase::done)
    {
        return {};
    }
    if (m_phase != phase::committing)
    {
        return end_transaction(reason::transaction_lost, connection_use::close);
    }
    return to_transaction_step(m_commit.connection_lost(),
                               connection_use::close);
}

void transaction::note_resolve_sent(state::term term)
{
    m_commit.note_sent(term);
}

transaction_step transaction::log_changed(log_view const& log)
{
    if (m_phase == phase::committing)
    {
        return to_transaction_step(m_commit.log_changed(log),
                                   connection_use::close);
    }
    if (m_phase == phase::done || log.m_term <= m_term)
    {
        return {};
    }
    return end_transaction(reason::term_superseded, connection_use::close);
}

transaction_step transaction::caller_left()
{
    m_final_answered = true;
    if (m_phase == phase::committing || m_phase == phase::rolling_back ||
        m_phase == phase::done)
    {
        return {};
    }
    if (m_phase == phase::open)
    {
        return start_rollback(reason::cancelled);
    }
    return end_transaction(reason::cancelled, connection_use::close);
}

transaction_step transaction::expire(state::time_point now)
{
    if (m_phase == phase::done || !m_commit.end().expired(now))
    {
        return {};
    }
    if (m_phase == phase::committing)
    {
        return to_transaction_step(m_commit.abandon(reason::deadline_exceeded),
                                   connection_use::close);
    }
    return end_transaction(reason::deadline_exceeded, connection_use::close);
}

transaction_step transaction::refuse_step(reason why) const
{
    return {connection_use::keep,
            sent::none,
            answer_kind::step,
            {outcome::not_executed, why, {}, false}};
}

transaction_step transaction::end_transaction(reason why, connection_use use)
{
    m_phase = phase::done;
    auto const answered_before = std::exchange(m_final_answered, true);
    auto const bound = std::exchange(m_bound, false);
    return {bound ? use : connection_use::keep,
            sent::none,
            answered_before ? answer_kind::none : answer_kind::final,
            {outcome::not_executed, why, {}, false}};
}

transaction_step transaction::start_rollback(reason why)
{
    m_phase = phase::rolling_back;
    m_end_reason = why;
    return {connection_use::keep, sent::roll_back, answer_kind::none, {}};
}

transaction_step transaction::begun(statement_code code)
{
    if (code == statement_code::ok)
    {
        m_phase = phase::open;
        return {connection_use::keep,
                sent::none,
                answer_kind::step,
                {outcome::executed, reason::none, {}, false}};
    }
    bool const refused = code == statement_code::not_primary ||
                         code == statement_code::wrong_term;
    return refused ? end_transaction(reason::term_superseded,
                                     connection_use::release)
                   : end_transaction(reason::transaction_lost,
                                     connection_use::close);
}

transaction_step transaction::executed(statement_code code)
{
    if (code == statement_code::ok || code == statement_code::failed)
    {
        m_phase = phase::open;
        bool const ok = code == statement_code::ok;
        return {connection_use::keep,
                sent::none,
                answer_kind::step,
                {ok ? outcome::executed : outcome::not_executed,
                 ok ? reason::none : reason::statement_failed,
                 {},
                 false}};
    }
    return end_transaction(reason::transaction_lost, connection_use::close);
}

transaction_step transaction::committed(keyed_answer const& answer,
                                        log_view const& log)
{
    auto step = m_commit.answered(answer, log);
    bool const refused = step.m_action == keyed_step::action::send;
    if (refused)
    {
        step = m_commit.abandon(reason::term_superseded);
    }
    return to_transaction_step(step, connection_use::release);
}

transaction_step transaction::rolled_back(statement_code code)
{
    bool const clean = code == statement_code::rolled_back ||
                       code == statement_code::ok ||
                       code == statement_code::no_transaction;
    return end_transaction(m_end_reason, clean ? connection_use::release
                                               : connection_use::close);
}

transaction_step transaction::to_transaction_step(keyed_step const& step,
                                                  connection_use use)
{
    transaction_step result;
    bool const ends = step.m_action != keyed_step::action::none;
    bool const confirmed = use == connection_use::release;
    if (m_bound && (ends || confirmed))
    {
        m_bound = false;
        result.m_connection = use;
    }
    if (step.m_action == keyed_step::action::resolve)
    {
        result.m_send = sent::resolve;
    }
    if (step.m_action == keyed_step::action::finish)
    {
        m_phase = phase::done;
        result.m_answer = std::exchange(m_final_answered, true)
                              ? answer_kind::none
                              : answer_kind::final;
        result.m_result = step.m_result;
    }
    return result;
}

} // namespace camphortide::coordination
