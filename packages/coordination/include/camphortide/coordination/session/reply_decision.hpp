#pragma once

#include <compare>
#include <optional>

#include <camphortide/state/statement_reply.hpp>

namespace camphortide::coordination
{

/// What was sent to a member.
enum class sent_kind
{
    single_read,     ///< outside a transaction
    single_write,    ///< outside a transaction
    in_transaction,  ///< any but the commit
    commit_of_reads, ///< of a transaction that changed nothing
    commit_of_writes
};

/// How sending it ended.
struct sent_result
{
    sent_kind m_kind = sent_kind::single_read;
    /// the member's answer; nothing if the connection or the time ended
    std::optional<state::statement_reply> m_reply;
    /// the member was used as the primary, and may not be any more
    bool m_permit_lost = false;
};

/// What the caller is told.
struct reply_decision
{
    enum class action
    {
        deliver, ///< the member's answer
        retry,   ///< anew, to any member: it changes nothing, or hasn't run
        retry_in_place, ///< on the same connection: it hasn't run there
        fail            ///< m_failure
    };

    action m_action = action::deliver;
    std::optional<state::statement_failure> m_failure;
    bool m_keep_connection = true; ///< its state is known

    friend auto operator<=>(reply_decision const&,
                            reply_decision const&) = default;
};

/// Judges what became of a statement. A caller is promised that nothing is
/// kept only where that is proved: by the member's answer, or because the
/// commit was never sent.
reply_decision evaluate_reply(sent_result const& result);

} // namespace camphortide::coordination
