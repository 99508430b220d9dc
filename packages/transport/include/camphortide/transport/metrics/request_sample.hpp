#pragma once

#include <chrono>
#include <cstddef>
#include <optional>
#include <string_view>

#include <camphortide/state/outcome.hpp>

namespace camphortide::transport
{

/// Where a request was served.
enum class request_route
{
    none,     ///< refused before it was routed
    primary,  ///< on the primary, by this instance
    replica,  ///< on a replica, by this instance
    forwarded ///< by another instance
};

inline constexpr std::size_t request_route_count = 4;

/// @return the name used in metrics and reports
std::string_view to_string(request_route value);

/// A duration in milliseconds with fractions.
using sample_time = std::chrono::duration<double, std::milli>;

/// The measurements of one request for the metrics of its customer and class.
struct request_sample
{
    state::outcome m_outcome = state::outcome::executed;
    state::reason m_reason = state::reason::none;
    request_route m_route = request_route::none;
    sample_time m_latency{};                 ///< from arrival to reply
    std::optional<sample_time> m_queue_wait; ///< if the request was queued
    std::optional<sample_time> m_age; ///< age of the data that a read returned
};

} // namespace camphortide::transport
