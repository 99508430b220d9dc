#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <camphortide/load/history/request_record.hpp>

namespace camphortide::load
{

/// What the system guarantees its callers and operators.
enum class guarantee
{
    acknowledged_writes_stay,
    at_most_once,
    not_executed_is_true,
    read_your_writes,
    monotonic_reads,
    age_of_answers,
    own_answers,
    unmixed_transactions,
    whole_transactions,
    no_work_for_leavers,
    stops_interrupt_nothing,
    catalogue_in_force
};

/// @return the guarantee as reports print it
std::string_view to_string(guarantee value);

/// A guarantee that a run broke, with the attempts that show it.
struct guarantee_violation
{
    guarantee m_guarantee = guarantee::acknowledged_writes_stay;
    std::string m_explanation; ///< a sentence for people
    history m_attempts;        ///< in the order of the argument

    friend auto operator<=>(guarantee_violation const&,
                            guarantee_violation const&) = default;
};

} // namespace camphortide::load
