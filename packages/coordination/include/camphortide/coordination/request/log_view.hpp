#pragma once

#include <compare>
#include <cstdint>

#include <camphortide/state/log_position.hpp>
#include <camphortide/state/term_history.hpp>

namespace camphortide::coordination
{

/// The primary's log as a home last received it.
struct log_view
{
    state::term m_term;         ///< the primary's term; 0: no primary known yet
    state::log_position m_last; ///< last record in its log
    state::term_history m_history;
    /// Last index that is in this and every later primary's log.
    std::uint64_t m_safe = 0;

    friend auto operator<=>(log_view const&, log_view const&) = default;
};

/// The status of a position with respect to the primary's log.
enum class position_status
{
    safe,    ///< in the log of this and every later primary
    pending, ///< in the log but not safe, or not reported yet
    absent   ///< not in the log
};

/// Compares a position with the primary's log.
/// @return the status; pending also for a position in a term above that of the
///     view
position_status status_in_log(state::log_position const& position,
                              log_view const& log);

} // namespace camphortide::coordination
