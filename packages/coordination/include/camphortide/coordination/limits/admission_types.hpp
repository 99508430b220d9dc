#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

#include <camphortide/state/clock.hpp>
#include <camphortide/state/outcome.hpp>

namespace camphortide::coordination
{

/// The members whose slots a request uses. Each class has its own slots and
/// queues.
enum class slot_class : std::uint8_t
{
    primary,
    replica
};

inline constexpr std::size_t slot_class_count = 2;

/// An amount of work, as the time for which it occupies one slot.
using work = std::chrono::duration<double, std::milli>;

/// A request for a slot.
struct admission_request
{
    std::uint64_t m_id = 0; ///< unique among queued and running requests
    std::string_view m_entry;
    slot_class m_slot_class = slot_class::primary;
    /// Nothing: the entry's default.
    std::optional<state::time_point> m_deadline;
    std::optional<work> m_cost; ///< nothing: the mean observed for the entry
    bool m_retry = false;       ///< repeats a request that was refused
};

/// The result of submitting a request.
enum class admission_result
{
    admitted, ///< holds a slot; finished() must be called at the end
    queued,   ///< admitted or refused by a later call
    refused   ///< not executed, and no longer tracked
};

/// The decision on a submitted request.
struct admission_decision
{
    admission_result m_result = admission_result::refused;
    state::reason m_reason = state::reason::none; ///< if refused
    state::duration m_retry_after{};              ///< if refused

    friend auto operator<=>(admission_decision const&,
                            admission_decision const&) = default;
};

/// A queued request that was refused without being executed.
struct admission_refusal
{
    std::uint64_t m_id = 0;
    state::reason m_reason = state::reason::none;
    state::duration m_retry_after{};

    friend auto operator<=>(admission_refusal const&,
                            admission_refusal const&) = default;
};

/// Queued requests that were admitted or refused by a call.
struct admission_changes
{
    std::vector<std::uint64_t> m_admitted; ///< in the order in which they start
    std::vector<admission_refusal> m_refused;

    friend auto operator<=>(admission_changes const&,
                            admission_changes const&) = default;
};

/// The load of one entry at one home.
struct admission_load
{
    std::uint32_t m_running = 0;
    std::uint32_t m_queued = 0;
    work m_mean_work{};

    friend auto operator<=>(admission_load const&,
                            admission_load const&) = default;
};

} // namespace camphortide::coordination
