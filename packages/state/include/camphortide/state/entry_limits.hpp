#pragma once

#include <compare>
#include <cstdint>
#include <optional>

#include <camphortide/state/clock.hpp>

namespace camphortide::state
{

/// Resource limits of the requests of one catalogue entry. Every limit applies
/// to the whole system, not to a single instance.
struct entry_limits
{
    std::uint32_t m_rate = 100;           ///< requests per second
    std::uint32_t m_concurrency = 16;     ///< requests running at the same time
    std::uint32_t m_connections = 8;      ///< maximum per member
    std::uint32_t m_queue_length = 64;    ///< maximum of waiting requests
    duration m_deadline{2000};            ///< default deadline of a request
    std::optional<duration> m_age;        ///< maximum; empty: current data only
    std::uint32_t m_retry_percent = 10;   ///< retries per 100 requests
    bool m_idempotent = false;            ///< default of a request
    std::uint32_t m_priority = 0;         ///< higher is served first, if strict
    std::uint32_t m_weight = 1;           ///< relative share within a priority
    duration m_key_retention{86'400'000}; ///< time that a request key is kept

    friend auto operator<=>(entry_limits const&, entry_limits const&) = default;
};

} // namespace camphortide::state
