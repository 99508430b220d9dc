#pragma once

#include <compare>
#include <optional>

#include <camphortide/coordination/request/freshness.hpp>
#include <camphortide/coordination/request/log_view.hpp>
#include <camphortide/coordination/request/read_requirement.hpp>
#include <camphortide/state/outcome.hpp>

namespace camphortide::coordination
{

/// What to do with the answer to a read.
enum class read_decision
{
    release, ///< hand it to the caller
    hold,    ///< ask again after the next status or sample
    retry,   ///< drop it and read again, at the primary for preference
    drop     ///< refuse the read with the reason
};

/// The verdict on the answer to a read.
struct read_check_result
{
    read_decision m_decision = read_decision::hold;
    state::reason m_reason = state::reason::none;
    /// upper bound of the data's age when the caller has it, if known
    std::optional<state::duration> m_age;

    friend auto operator<=>(read_check_result const&,
                            read_check_result const&) = default;
};

/// Checks the answer to a read against the promises: its data are safe,
/// cover the session's token, and are no older than allowed.
/// @param answer the position that the read saw
/// @param requirement what the read needs
/// @param log the primary's log as known now
/// @param samples the group's samples
/// @param now the time of release
/// @return the verdict; hold never lasts beyond the deadline
read_check_result accept_read(state::log_position const& answer,
                              read_requirement const& requirement,
                              log_view const& log, freshness const& samples,
                              state::time_point now);

} // namespace camphortide::coordination
