#pragma once

#include <ostream>

#include <absl/status/statusor.h>

#include <camphortide/load/trace/monitor_input.hpp>
#include <camphortide/load/trace/trace_header.hpp>

namespace camphortide::load
{

/// Writes a trace as JSON lines: the header, each input with its time and the
/// actions that it led to, and the outcome.
class trace_recorder
{
public:
    /// @param to outlives this
    trace_recorder(std::ostream& to, trace_header const& header);

    /// Writes one step.
    void step(monitor_input const& input,
              coordination::group_actions const& actions,
              state::time_point now);

    /// Writes the outcome; the last line.
    void finish(trace_outcome const& outcome);

private:
    std::ostream& m_to;
};

/// @return the outcome as a monitor shows it now
trace_outcome outcome_of(coordination::group_monitor const& monitor);

/// Builds the monitor that a header describes.
/// @return INVALID_ARGUMENT if it can't be built
absl::StatusOr<coordination::group_monitor>
build_monitor(trace_header const& header);

} // namespace camphortide::load
