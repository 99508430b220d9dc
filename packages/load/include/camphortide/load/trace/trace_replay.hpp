#pragma once

#include <compare>
#include <cstdint>
#include <istream>
#include <string>
#include <vector>

namespace camphortide::load
{

/// Why a trace did not pass.
enum class difference_kind
{
    not_a_trace,   ///< another format or version, or damaged
    other_actions, ///< an input led to other actions
    other_outcome, ///< it ended otherwise
    no_outcome     ///< it does not say how it ends
};

/// @return the fault as reports print it
std::string_view to_string(difference_kind value);

/// One thing in which a replay differs from its trace.
struct trace_difference
{
    difference_kind m_kind = difference_kind::not_a_trace;
    std::uint64_t m_line = 0;   ///< of the trace, from 1
    std::int64_t m_time_ms = 0; ///< on the trace's clock
    std::string m_expected;
    std::string m_actual;

    friend auto operator<=>(trace_difference const&,
                            trace_difference const&) = default;
};

/// What came of a replay.
struct replay_result
{
    std::uint64_t m_steps = 0;
    std::vector<trace_difference> m_differences;

    bool passed() const { return m_differences.empty(); }
};

/// Feeds the inputs of a trace to the decision on the trace's own clock, and
/// compares its actions and its outcome with those that the trace states.
/// @param trace JSON lines
/// @return every difference
replay_result replay(std::istream& trace);

} // namespace camphortide::load
