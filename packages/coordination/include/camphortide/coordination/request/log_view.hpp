#pragma once

#include <compare>
#include <cstdint>

#include <camphortide/state/log_position.hpp>
#include <camphortide/state/term_history.hpp>

namespace camphortide::coordination
{

/// What a home knows of the primary's log.
struct log_view
{
    state::term m_term;         ///< the primary's; 0: none known yet
    state::log_position m_last; ///< last record in its log
    state::term_history m_history;
    std::uint64_t m_safe = 0; ///< safe in this and every later primary's log

    friend auto operator<=>(log_view const&, log_view const&) = default;
};

/// Where a position stands with respect to the primary's log.
enum class position_status
{
    safe,    ///< in the log of this and every later primary
    pending, ///< in the log, or not known yet
    absent   ///< not in the log
};

/// Compares a position with the primary's log.
/// @return pending also for a position of a term above the one in the view
position_status status_in_log(state::log_position const& position,
                              log_view const& log);

} // namespace camphortide::coordination
