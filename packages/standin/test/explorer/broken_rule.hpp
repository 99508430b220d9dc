#pragma once

namespace camphortide::standin
{

/// A rule that a test breaks on purpose, to show that the checks see it.
enum class broken_rule
{
    none,
    acknowledge_unsafe,        ///< acknowledge on the primary's word
    count_copies_of_old_terms, ///< take copies of any term as safe
    ignore_log_positions,      ///< forget how advanced the members are
    skip_fences,               ///< promote without the grants of a majority
    promote_random_member,     ///< send a promote again to another member
    resend_with_new_key,       ///< send again under another key
    report_unanswered_as_not_executed, ///< call a request not executed for want
                                       ///< of an answer
    release_unsafe_reads,   ///< hand out what a member applied at once
    ignore_token,           ///< let any member answer a session
    sample_without_majority ///< take an age sample from the primary alone
};

} // namespace camphortide::standin
