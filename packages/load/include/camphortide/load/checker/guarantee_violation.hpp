#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <camphortide/load/history/request_record.hpp>

namespace camphortide::load
{

/// What the system guarantees to its callers and operators. Reports print each
/// one under the name of its enumerator and call it a promise.
enum class guarantee
{
    acknowledged_writes_stay, ///< an executed write is in the final log
    at_most_once,             ///< a request has at most one record
    not_executed_is_true,     ///< a request reported as such has no record
    read_your_writes,         ///< within a session and group
    monotonic_reads,          ///< within a session and group
    age_of_answers,           ///< data is no older than allowed and stated
    own_answers,              ///< a result belongs to the caller's own request
    unmixed_transactions,     ///< a record holds statements of one request
    whole_transactions,       ///< a record holds all statements of its request
    no_work_for_leavers,      ///< leaving members get nothing after the grace
    stops_interrupt_nothing,  ///< planned stops interrupt no request
    catalogue_in_force ///< changes reach every instance in time and in order

};

/// @return the name that reports print
std::string_view to_string(guarantee value);

/// A violation of a guarantee, with the attempts that show it.
struct guarantee_violation
{
    guarantee m_guarantee = guarantee::acknowledged_writes_stay;
    std::string m_explanation; ///< human-readable
    history m_attempts;        ///< in the order that the explanation needs

    friend auto operator<=>(guarantee_violation const&,
                            guarantee_violation const&) = default;
};

} // namespace camphortide::load
