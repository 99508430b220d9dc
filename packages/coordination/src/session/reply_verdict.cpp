#include <string>
#include <utility>

#include <camphortide/coordination/session/reply_verdict.hpp>

namespace camphortide::coordination
{

namespace
{

using action = reply_verdict::action;
using state::statement_error;

reply_verdict tell(statement_error error, std::string text)
{
    return {action::tell, state::statement_failure{error, std::move(text)},
            false};
}

/// Neither success nor failure is known, or a success that may not count.
reply_verdict unknown(sent_kind kind)
{
    switch (kind)
    {
    case sent_kind::single_read:
        return {action::send_again, {}, false};
    case sent_kind::single_write:
    case sent_kind::commit_of_writes:
        return tell(statement_error::in_doubt, "no answer that counts");
    case sent_kind::in_transaction:
    case sent_kind::commit_of_reads:
        break;
    }
    return tell(statement_error::aborted, "transaction rolled back");
}

bool single(sent_kind kind)
{
    return kind == sent_kind::single_read || kind == sent_kind::single_write;
}

/// The member says that the statement has not run.
bool not_run(statement_error error)
{
    switch (error)
    {
    case statement_error::busy:
    case statement_error::lagging:
    case statement_error::read_only:
    case statement_error::misrouted:
    case statement_error::overload:
        return true;
    default:
        return false;
    }
}

} // namespace

reply_verdict judge_reply(sent_result const& result)
{
    if (!result.m_reply)
    {
        return unknown(result.m_kind);
    }
    auto const& reply = *result.m_reply;
    if (reply.ok())
    {
        return result.m_permit_lost ? unknown(result.m_kind) : reply_verdict{};
    }
    auto const error = reply.m_failure->m_error;
    if (single(result.m_kind))
    {
        bool const again =
            not_run(error) || (result.m_kind == sent_kind::single_read &&
                               (error == statement_error::failed ||
                                error == statement_error::timed_out));
        return {again ? action::send_again : action::deliver, {}, true};
    }
    if (error == statement_error::busy &&
        reply.m_phase == state::session_phase::in_transaction)
    {
        return {action::repeat_there, {}, true};
    }
    bool const commits = result.m_kind != sent_kind::in_transaction;
    if (commits && not_run(error))
    {
        // The transaction is rolled back with its connection.
        return tell(statement_error::aborted, "commit not run");
    }
    return {};
}

} // namespace camphortide::coordination
