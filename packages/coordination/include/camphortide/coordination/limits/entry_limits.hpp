#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>

#include <camphortide/state/clock.hpp>

namespace camphortide::coordination
{

/// What a catalogue entry allows its owner's class of traffic.
struct entry_limits
{
    std::string m_name;
    std::string m_owner;
    std::string m_class;
    std::optional<double> m_rate; ///< requests per second; nothing: no limit
    std::optional<std::uint32_t> m_concurrency; ///< nothing: no limit
    std::uint32_t m_queue_length = 64;          ///< requests that may wait
    state::duration m_queue_time{1000};         ///< longest wait
    state::duration m_deadline{2000}; ///< where the request states none
    std::uint32_t m_priority = 0;     ///< higher goes first, if strict
    std::uint32_t m_weight = 1;       ///< share among its owner's entries
    double m_retry_share = 0.1;       ///< retries per first try

    friend auto operator<=>(entry_limits const&, entry_limits const&) = default;
};

/// How the operators rank the classes.
enum class priority_rule
{
    weighted, ///< by weight alone
    strict    ///< a higher priority first, by weight within one priority
};

} // namespace camphortide::coordination
