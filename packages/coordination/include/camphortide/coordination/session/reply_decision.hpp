#pragma once

#include <compare>
#include <optional>

#include <camphortide/state/statement_reply.hpp>

namespace camphortide::coordination
{

/// Kind of the statement that was sent to a member.
enum class sent_kind
{
    /// Outside a transaction.
    single_read,
    /// Outside a transaction.
    single_write,
    /// Any statement of a transaction except its commit.
    in_transaction,
    /// Commit of a transaction that changed no data.
    commit_of_reads,
    commit_of_writes
};

/// Result of sending a statement.
struct sent_result
{
    sent_kind m_kind = sent_kind::single_read;
    /// The member's reply; nothing if the connection was lost or the statement
    /// timed out.
    std::optional<state::statement_reply> m_reply;
    /// The member was used as the primary, and the permit ended meanwhile.
    bool m_permit_lost = false;
};

/// What to do after a statement was sent.
struct reply_decision
{
    enum class action
    {
        /// Delivers the member's reply to the caller.
        deliver,
        /// Sends the statement again, to any member: it changes no data, or
        /// wasn't executed.
        retry,
        /// Sends it again on the same connection: it wasn't executed there.
        retry_in_place,
        /// Reports m_failure to the caller.
        fail
    };

    action m_action = action::deliver;
    std::optional<state::statement_failure> m_failure;
    /// The state of the connection is known, so it can be reused.
    bool m_keep_connection = true;

    friend auto operator<=>(reply_decision const&,
                            reply_decision const&) = default;
};

/// Decides how to proceed after a statement was sent. The caller is told that
/// nothing was changed only where that is certain: by the member's reply, or
/// because the commit was never sent.
reply_decision evaluate_reply(sent_result const& result);

} // namespace camphortide::coordination
