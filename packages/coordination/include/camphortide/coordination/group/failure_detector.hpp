#pragma once

#include <optional>

#include <camphortide/coordination/group/group_settings.hpp>
#include <camphortide/coordination/group/group_view.hpp>
#include <camphortide/coordination/group/jitter.hpp>

namespace camphortide::coordination
{

/// The health of the primary according to the members' answers.
enum class primary_health
{
    alive,     ///< it answers, or is not overdue yet
    suspected, ///< overdue or missing, not confirmed by a majority
    failed     ///< confirmed by a majority, or no member leads
};

/// Decides when a group needs a new primary. This requires reports from a
/// majority of the members, so an instance that is cut off cannot depose a
/// primary.
class failure_detector
{
public:
    /// @param settings the timeouts
    /// @param seed for the random waits that prevent instances from starting
    ///     promotions at the same time
    failure_detector(group_settings const& settings, std::uint64_t seed);

    /// Evaluates the primary by the latest statuses.
    primary_health assess(group_view const& view, state::time_point now) const;

    /// Determines whether a promotion should start now. The primary has to
    /// count as failed for a random wait, which starts again when a member
    /// grants a higher term.
    /// @return true once the wait is over
    bool should_promote(group_view const& view, state::time_point now);

    /// Restarts the wait before a promotion, after a pause of this instance.
    void restart();

    /// Delays the next promotion after one that failed.
    void back_off(state::time_point now);

    /// Resets the backoff after a successful promotion.
    void reset_backoff();

private:
    bool majority_lost_primary(group_view const& view, state::time_point now,
                               state::duration timeout) const;
    /// @return for how long a majority must not have heard from the primary
    state::duration timeout_for(group_view const& view, std::size_t primary,
                                state::time_point now) const;
    bool has_no_leader(group_view const& view, state::time_point now) const;
    void store_primary(group_view const& view);

    group_settings m_settings;
    jitter m_jitter;
    std::optional<state::time_point> m_start_at;
    state::time_point m_not_before{};
    state::term m_seen_granted;
    state::duration m_next_backoff;
    std::optional<std::size_t> m_last_primary;
    state::term m_last_term;
};

} // namespace camphortide::coordination
