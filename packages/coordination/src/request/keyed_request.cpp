#include <utility>

#include <camphortide/coordination/request/keyed_request.hpp>

namespace camphortide::coordination
{

namespace
{

using action = keyed_step::action;
using state::outcome;
using state::reason;

reason reason_of(statement_code code)
{
    return code == statement_code::failed ? reason::statement_failed
                                          : reason::transaction_lost;
}

} // namespace

keyed_request keyed_request::write(std::string key, deadline end)
{
    return {std::move(key), end, phase::waiting};
}

keyed_request keyed_request::outcome_query(std::string key, deadline end)
{
    return {std::move(key), end, phase::lost};
}

keyed_request::keyed_request(std::string key, deadline end, phase start)
    : m_key(std::move(key)),
      m_end(end),
      m_phase(start)
{
}

void keyed_request::note_sent(state::term term)
{
    m_sent_term = term;
    if (m_phase == phase::waiting)
    {
        m_phase = phase::sent;
    }
    else if (m_phase == phase::lost)
    {
        m_phase = phase::resolving;
    }
}

keyed_step keyed_request::answered(keyed_answer const& answer,
                                   log_view const& log)
{
    if (!outstanding())
    {
        return {};
    }
    if (answer.m_code == statement_code::ok ||
        answer.m_code == statement_code::key_barred)
    {
        return answered_by_record(answer, log);
    }
    return m_phase == phase::resolving ? start_resolve()
                                       : answered_without_record(answer.m_code);
}

keyed_step keyed_request::connection_lost()
{
    if (!outstanding())
    {
        return {};
    }
    return start_resolve();
}

keyed_step keyed_request::log_changed(log_view const& log)
{
    bool const superseded = log.m_term > m_sent_term;
    if (m_phase == phase::lost || (outstanding() && superseded))
    {
        return start_resolve();
    }
    bool const record_known = m_position.m_index != 0;
    if (m_phase != phase::unsafe || !record_known)
    {
        return {};
    }
    switch (status_in_log(m_position, log))
    {
    case position_status::pending:
        return {};
    case position_status::absent:
        return start_resolve();
    case position_status::safe:
        break;
    }
    return m_executed ? finish(outcome::executed, reason::none)
                      : finish(outcome::not_executed, reason::key_barred);
}

keyed_step keyed_request::abandon(reason why)
{
    if (m_phase == phase::done)
    {
        return {};
    }
    return finish(m_phase == phase::waiting ? outcome::not_executed
                                            : outcome::unknown,
                  why);
}

bool keyed_request::outstanding() const
{
    return m_phase == phase::sent || m_phase == phase::resolving;
}

keyed_step keyed_request::answered_by_record(keyed_answer const& answer,
                                             log_view const& log)
{
    m_phase = phase::unsafe;
    m_position = answer.m_position;
    m_executed = answer.m_code == statement_code::ok;
    m_replayed = answer.m_replayed;
    return log_changed(log);
}

keyed_step keyed_request::answered_without_record(statement_code code)
{
    if (code == statement_code::not_primary ||
        code == statement_code::wrong_term)
    {
        m_phase = phase::waiting;
        return {action::send, {}};
    }
    return finish(outcome::not_executed, reason_of(code));
}

keyed_step keyed_request::start_resolve()
{
    if (m_key.empty())
    {
        return finish(outcome::unknown, reason::connection_lost);
    }
    m_phase = phase::lost;
    return {action::resolve, {}};
}

keyed_step keyed_request::finish(outcome outcome, reason why)
{
    m_phase = phase::done;
    return {action::finish, {outcome, why, m_position, m_replayed}};
}

} // namespace camphortide::coordination
