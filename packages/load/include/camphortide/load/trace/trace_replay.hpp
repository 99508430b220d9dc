#pragma once

#include <compare>
#include <cstdint>
#include <istream>
#include <string>
#include <vector>

namespace camphortide::load
{

/// How a replay can differ from its trace. Printed under the names of the
/// enumerators.
enum class difference_kind
{
    not_a_trace,   ///< another format or version, or malformed
    other_actions, ///< an input caused other actions
    other_outcome, ///< the final state differs
    no_outcome     ///< the trace has no outcome
};

/// @return the name that reports print
std::string_view to_string(difference_kind value);

/// One difference between a replay and its trace.
struct trace_difference
{
    difference_kind m_kind = difference_kind::not_a_trace;
    std::uint64_t m_line = 0;   ///< line number in the trace, from 1
    std::int64_t m_time_ms = 0; ///< on the trace's clock
    std::string m_expected;
    std::string m_actual;

    friend auto operator<=>(trace_difference const&,
                            trace_difference const&) = default;
};

/// The result of a replay.
struct replay_result
{
    std::uint64_t m_steps = 0;
    std::vector<trace_difference> m_differences;

    bool passed() const { return m_differences.empty(); }
};

/// Passes the inputs of a trace to a group monitor on the clock of the trace,
/// and compares the actions and the outcome with those in the trace.
/// @param trace JSON lines
/// @return every difference
replay_result replay(std::istream& trace);

} // namespace camphortide::load
