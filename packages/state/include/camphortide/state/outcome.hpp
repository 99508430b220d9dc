#pragma once

#include <string_view>

namespace camphortide::state
{

/// Whether a request took effect.
enum class outcome
{
    executed,     ///< has run; its effect is permanent
    not_executed, ///< has not run and never will
    unknown       ///< may have run
};

/// The reason for the outcome of a request. The values equal those of
/// camphortide.v1.Reason.
enum class reason
{
    none = 1,
    rate_limit = 2,
    concurrency_limit = 3,
    queue_full = 4,
    deadline_too_short = 5,
    deadline_exceeded = 6,
    no_primary = 7,
    no_replica = 8,
    term_superseded = 9,
    connection_lost = 10,
    key_barred = 11,
    statement_failed = 12,
    unknown_entry = 13,
    bad_credential = 14,
    wrong_customer = 15,
    bad_token = 16,
    bad_request = 17,
    draining = 18,
    no_home = 19,
    transaction_lost = 20,
    too_old = 21,
    key_conflict = 22,
    too_large = 23,
    cancelled = 24,
    no_catalogue = 25,
    internal = 26
};

/// @return the outcome's name as it is printed in logs and reports
std::string_view to_string(outcome value);

/// @return the reason's name as it is printed in logs and reports
std::string_view to_string(reason value);

} // namespace camphortide::state
