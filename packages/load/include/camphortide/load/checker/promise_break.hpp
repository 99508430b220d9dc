#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <camphortide/load/history/request_record.hpp>

namespace camphortide::load
{

/// What the system promises its callers and operators.
enum class promise
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

/// @return the promise as reports print it
std::string_view to_string(promise value);

/// A promise that a run broke, with the attempts that show it.
struct promise_break
{
    promise m_promise = promise::acknowledged_writes_stay;
    std::string m_explanation; ///< a sentence for people
    history m_attempts;        ///< in the order of the argument

    friend auto operator<=>(promise_break const&,
                            promise_break const&) = default;
};

} // namespace camphortide::load
