#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>

#include <camphortide/state/clock.hpp>

namespace camphortide::coordination
{

/// The limits that a catalogue entry sets for one class of its customer's
/// traffic.
struct entry_limits
{
    std::string m_name;
    std::string m_customer;
    std::string m_class;
    std::optional<double> m_rate; ///< requests per second; nothing: no limit
    std::optional<std::uint32_t> m_concurrency; ///< nothing: no limit
    std::uint32_t m_queue_length = 64;  ///< maximum number of queued requests
    state::duration m_queue_time{1000}; ///< maximum time in the queue
    /// Default for requests without a deadline.
    state::duration m_deadline{2000};
    /// Higher first; used by priority_rule::strict only.
    std::uint32_t m_priority = 0;
    std::uint32_t m_weight = 1; ///< relative to the customer's other entries
    double m_retry_share = 0.1; ///< retries allowed per first attempt

    friend auto operator<=>(entry_limits const&, entry_limits const&) = default;
};

/// How priorities rank the classes.
enum class priority_rule
{
    weighted, ///< by weight alone; priorities are ignored
    strict    ///< higher priority first, by weight within one priority
};

} // namespace camphortide::coordination
