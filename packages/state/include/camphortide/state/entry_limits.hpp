#pragma once

#include <compare>
#include <cstdint>
#include <optional>

#include <camphortide/state/clock.hpp>

namespace camphortide::state
{

/// What the requests of a catalogue entry may use. Every limit holds for the
/// whole system, not for one instance.
struct entry_limits
{
    std::uint32_t m_rate = 100;           ///< requests per second
    std::uint32_t m_concurrency = 16;     ///< requests that run at a time
    std::uint32_t m_connections = 8;      ///< per member, at most
    std::uint32_t m_queue_length = 64;    ///< requests that wait at a time
    duration m_deadline{2000};            ///< of a request that states none
    std::optional<duration> m_age;        ///< age allowed; none: no old data
    std::uint32_t m_retry_percent = 10;   ///< retries per hundred requests
    bool m_idempotent = false;            ///< of a request that says nothing
    std::uint32_t m_priority = 0;         ///< higher goes first, if strict
    std::uint32_t m_weight = 1;           ///< share within a priority
    duration m_key_retention{86'400'000}; ///< how long a request key is kept

    friend auto operator<=>(entry_limits const&, entry_limits const&) = default;
};

} // namespace camphortide::state
