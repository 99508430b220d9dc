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
    release, ///< return it to the caller
    hold,    ///< check it again after the next status or sample
    retry,   ///< discard it and read again, preferably at the primary
    drop     ///< refuse the read with the reason
};

/// The result of checking the answer to a read.
struct read_check_result
{
    read_decision m_decision = read_decision::hold;
    state::reason m_reason = state::reason::none;
    /// Upper bound of the age of the data when the caller receives it; nothing
    /// if unknown.
    std::optional<state::duration> m_age;

    friend auto operator<=>(read_check_result const&,
                            read_check_result const&) = default;
};

/// Checks that the answer to a read meets the consistency guarantees: its data
/// is safe, covers the position in the session's token, and is no older than
/// allowed.
/// @param answer the log position that the read observed
/// @param requirement what the answer has to cover, and how old it may be
/// @param log the primary's log as last reported
/// @param samples the freshness samples of the group
/// @param now when the answer would be returned
/// @return what to do with the answer; hold is never returned after the
///     deadline
read_check_result accept_read(state::log_position const& answer,
                              read_requirement const& requirement,
                              log_view const& log, freshness const& samples,
                              state::time_point now);

} // namespace camphortide::coordination
