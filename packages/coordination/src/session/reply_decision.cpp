#include <string>
#include <utility>

#include <camphortide/coordination/session/reply_decision.hpp>

namespace camphortide::coordination
{

namespace
{

using action = reply_decision::action;
using state::statement_error;

reply_decision fail(statement_error error, std::string text)
{
    return {action::fail, state::statement_failure{error, std::move(text)},
            false};
}

/// Decides without a usable reply: none arrived, or it reports a success that
/// arrived after the permit had ended.
reply_decision decide_without_result(sent_kind kind)
{
    switch (kind)
    {
    case sent_kind::single_read:
        return {action::retry, {}, false};
    case sent_kind::single_write:
    case sent_kind::commit_of_writes:
        return fail(statement_error::in_doubt, "no answer that counts");
    case sent_kind::in_transaction:
    case sent_kind::commit_of_reads:
        break;
    }
    return fail(statement_error::aborted, "transaction rolled back");
}

bool is_single(sent_kind kind)
{
    return kind == sent_kind::single_read || kind == sent_kind::single_write;
}

/// @return true if the member reports that it didn't execute the statement
bool was_not_run(statement_error error)
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

reply_decision evaluate_reply(sent_result const& result)
{
    if (!result.m_reply)
    {
        return decide_without_result(result.m_kind);
    }
    auto const& reply = *result.m_reply;
    if (reply.ok())
    {
        return result.m_permit_lost ? decide_without_result(result.m_kind)
                                    : reply_decision{};
    }
    auto const error = reply.m_failure->m_error;
    if (is_single(result.m_kind))
    {
        bool const again =
            was_not_run(error) || (result.m_kind == sent_kind::single_read &&
                                   (error == statement_error::failed ||
                                    error == statement_error::timed_out));
        return {again ? action::retry : action::deliver, {}, true};
    }
    if (error == statement_error::busy &&
        reply.m_phase == state::session_phase::in_transaction)
    {
        return {action::retry_in_place, {}, true};
    }
    bool const commits = result.m_kind != sent_kind::in_transaction;
    if (commits && was_not_run(error))
    {
        // Closing the connection rolls the transaction back.
        return fail(statement_error::aborted, "commit not run");
    }
    return {};
}

} // namespace camphortide::coordination
