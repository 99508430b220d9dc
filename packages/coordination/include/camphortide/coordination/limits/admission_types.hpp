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

/// Whose slots a request takes. Each slot_class has slots and queues of its
/// own.
enum class slot_class : std::uint8_t
{
    primary,
    replica
};

inline constexpr std::size_t slot_class_count = 2;

/// Work, as the time that it keeps one slot busy.
using work = std::chrono::duration<double, std::milli>;

/// A request that asks for a slot.
struct admission_request
{
    std::uint64_t m_id = 0; ///< unique among those waiting and running
    std::string_view m_entry;
    slot_class m_slot_class = slot_class::primary;
    std::optional<state::time_point> m_deadline; ///< nothing: the entry's own
    std::optional<work> m_cost; ///< nothing: as observed of the entry
    bool m_retry = false;       ///< a repeat of a request that was refused
};

/// What becomes of a request that arrives.
enum class admission_result
{
    admitted, ///< has a slot; call finished() in the end
    queued,   ///< a later call admits or refuses it
    refused   ///< was not executed and is forgotten
};

/// The answer to a request that arrives.
struct admission_decision
{
    admission_result m_result = admission_result::refused;
    state::reason m_reason = state::reason::none; ///< if refused
    state::duration m_retry_after{};              ///< if refused

    friend auto operator<=>(admission_decision const&,
                            admission_decision const&) = default;
};

/// A queued request that is refused; it was not executed.
struct admission_refusal
{
    std::uint64_t m_id = 0;
    state::reason m_reason = state::reason::none;
    state::duration m_retry_after{};

    friend auto operator<=>(admission_refusal const&,
                            admission_refusal const&) = default;
};

/// What becomes of queued requests.
struct admission_changes
{
    std::vector<std::uint64_t> m_admitted; ///< in the order of their service
    std::vector<admission_refusal> m_refused;

    friend auto operator<=>(admission_changes const&,
                            admission_changes const&) = default;
};

/// The figures of one entry at one home.
struct admission_load
{
    std::uint32_t m_running = 0;
    std::uint32_t m_queued = 0;
    work m_mean_work{};

    friend auto operator<=>(admission_load const&,
                            admission_load const&) = default;
};

} // namespace camphortide::coordination
