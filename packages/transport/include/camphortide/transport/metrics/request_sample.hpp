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
    none,     ///< nowhere: it was refused before
    primary,  ///< on the primary, by this instance
    replica,  ///< on a replica, by this instance
    forwarded ///< by another instance
};

inline constexpr std::size_t request_route_count = 4;

/// @return the route's name as metrics and reports print it
std::string_view to_string(request_route value);

/// A time of a request, in milliseconds with fractions.
using sample_time = std::chrono::duration<double, std::milli>;

/// What one request adds to the metrics of its owner and class.
struct request_sample
{
    state::outcome m_outcome = state::outcome::executed;
    state::reason m_reason = state::reason::none;
    request_route m_route = request_route::none;
    sample_time m_latency{};                 ///< from arrival to answer
    std::optional<sample_time> m_queue_wait; ///< if it went through a queue
    std::optional<sample_time> m_age;        ///< of the answer to a read
};

} // namespace camphortide::transport
