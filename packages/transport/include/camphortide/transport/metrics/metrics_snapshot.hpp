#pragma once

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include <camphortide/state/outcome.hpp>
#include <camphortide/transport/metrics/histogram_snapshot.hpp>
#include <camphortide/transport/metrics/request_sample.hpp>

namespace camphortide::transport
{

inline constexpr std::size_t outcome_count =
    static_cast<std::size_t>(state::outcome::unknown) + 1;
inline constexpr std::size_t reason_count =
    static_cast<std::size_t>(state::reason::internal) + 1;

/// The number of requests by outcome and reason.
using outcome_counts =
    std::array<std::array<std::uint64_t, reason_count>, outcome_count>;

/// The number of requests by route.
using route_counts = std::array<std::uint64_t, request_route_count>;

/// The metrics of one customer's class at one point in time.
struct class_snapshot
{
    std::string m_customer;
    std::string m_class;
    histogram_snapshot m_latency;
    histogram_snapshot m_queue_wait;
    histogram_snapshot m_age;
    outcome_counts m_outcomes{};
    route_counts m_routes{};

    /// @return the number of requests with an outcome, for any reason
    std::uint64_t count(state::outcome outcome) const;

    /// @return the number of requests with an outcome and a reason
    std::uint64_t count(state::outcome outcome, state::reason reason) const;

    /// @return the number of requests that took a route
    std::uint64_t count(request_route route) const;

    friend auto operator<=>(class_snapshot const&,
                            class_snapshot const&) = default;
};

/// The metrics of all customers and classes, sorted by both names.
using metrics_snapshot = std::vector<class_snapshot>;

} // namespace camphortide::transport
