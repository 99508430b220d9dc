#pragma once

namespace camphortide::standin
{

/// A rule that a test breaks on purpose, to show that the checks detect it.
enum class broken_rule
{
    none,
    /// Writes are acknowledged before a majority has their records.
    acknowledge_unsafe,
    /// A record on a replica counts as safe whatever term wrote it.
    count_copies_of_old_terms,
    /// Fence replies carry a random term of the last record, so that any member
    /// may be chosen for promotion.
    ignore_log_positions,
    /// Members are promoted without the grants of a majority.
    skip_fences,
    /// A promote request is sent to a random member each time.
    promote_random_member,
    /// A write with an unknown outcome is sent again with another key.
    resend_with_new_key,
    /// A request without an answer is reported as not executed.
    report_unanswered_as_not_executed,
    /// Reads are returned to callers before their records are safe.
    release_unsafe_reads,
    /// Reads ignore the position in the session token.
    ignore_token,
    /// A status of the primary counts as confirmed by the other members.
    sample_without_majority
};

} // namespace camphortide::standin
