#pragma once

#include <ostream>

#include <absl/status/statusor.h>

#include <camphortide/load/trace/monitor_input.hpp>
#include <camphortide/load/trace/trace_header.hpp>

namespace camphortide::load
{

/// Writes a trace as JSON lines: the header, each input with its time and the
/// actions that it caused, and the outcome.
class trace_recorder
{
public:
    /// @param to receives the trace; outlives this
    trace_recorder(std::ostream& to, trace_header const& header);

    /// Writes one input and its actions.
    void step(monitor_input const& input,
              coordination::group_actions const& actions,
              state::time_point now);

    /// Writes the outcome as the last line.
    void finish(trace_outcome const& outcome);

private:
    std::ostream& m_to;
};

/// @return the outcome for the current state of a monitor
trace_outcome outcome_of(coordination::group_monitor const& monitor);

/// Builds the monitor that a header describes.
/// @return the monitor; INVALID_ARGUMENT if the header is not valid
absl::StatusOr<coordination::group_monitor>
build_monitor(trace_header const& header);

} // namespace camphortide::load
