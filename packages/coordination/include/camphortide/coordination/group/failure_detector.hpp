#pragma once

#include <optional>

#include <camphortide/coordination/group/group_settings.hpp>
#include <camphortide/coordination/group/group_view.hpp>
#include <camphortide/coordination/group/jitter.hpp>

namespace camphortide::coordination
{

/// What the members' answers say about the primary.
enum class primary_health
{
    alive,     ///< a usable primary answers, or is not late yet
    suspected, ///< late or missing, without enough members that agree
    failed     ///< a majority of the members agrees, or no member leads
};

/// Decides when a group needs a new primary. Needs the word of a majority of
/// the members, so an instance that is cut off deposes nobody.
class failure_detector
{
public:
    /// @param settings the timeouts
    /// @param seed for the waits that keep instances from starting together
    failure_detector(group_settings const& settings, std::uint64_t seed);

    /// Judges the primary by the statuses held.
    primary_health assess(group_view const& view, state::time_point now) const;

    /// Says whether a promotion should start now. The signs must hold for a
    /// random wait, which starts again when a member grants a higher term.
    /// @return true once the wait is over
    bool should_promote(group_view const& view, state::time_point now);

    /// Starts all waits again, after a pause of this instance.
    void restart();

    /// Holds the next promotion back after one that was lost.
    void back_off(state::time_point now);

    /// Forgets earlier lost promotions.
    void reset_backoff();

private:
    bool majority_lost_primary(group_view const& view, state::time_point now,
                               state::duration timeout) const;
    /// @return how long the members must not have heard the primary
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
