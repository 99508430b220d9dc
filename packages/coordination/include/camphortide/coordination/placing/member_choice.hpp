#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <span>

#include <camphortide/coordination/placing/primary_positions.hpp>
#include <camphortide/state/clock.hpp>

namespace camphortide::coordination
{

/// What this instance knows of a member that statements may be sent to.
struct member_condition
{
    /// It is the primary and may be used as such now.
    bool m_primary = false;
    /// In service and not failing.
    bool m_usable = true;
    /// In another data centre than this instance.
    bool m_remote = false;
    /// It can accept a statement now.
    bool m_free = true;
    std::uint32_t m_in_flight = 0;
    /// Recent mean response time, including the wait at the member.
    double m_response_ms = 0;
    /// It could accept a statement now, but has no idle connection for the
    /// statement's customer; one is opening or can be opened.
    bool m_openable = false;
    /// Expected time until a connection for the statement's customer is open,
    /// in ms; zero if one is idle.
    double m_opening_ms = 0;
    /// Last position that the member reported as applied.
    std::optional<state::log_position> m_applied;
    /// Recent lag behind the primary.
    state::duration m_lag{};

    friend auto operator<=>(member_condition const&,
                            member_condition const&) = default;
};

/// What a statement requires of the member that executes it.
struct placement_requirements
{
    /// Only the primary may execute it.
    bool m_primary = true;
    /// The member must have applied this position; nothing: any replica
    /// qualifies.
    std::optional<state::log_position> m_required_position;
    /// Approximate time at which the primary's log reached that position.
    std::optional<state::time_point> m_required_reached_at;
    /// Bit i: member i refused the statement or lost it.
    std::uint32_t m_attempted = 0;

    friend auto operator<=>(placement_requirements const&,
                            placement_requirements const&) = default;
};

/// The member chosen for a statement.
struct placement
{
    /// Index of the member to send the statement to now; nothing: it waits.
    std::optional<std::size_t> m_member;
    /// Index of the member whose connection the statement waits for: even with
    /// the opening, its response is expected sooner than that of the members
    /// that can accept the statement now.
    std::optional<std::size_t> m_opening_member;
    /// Some member can execute the statement, now or once it is free.
    bool m_possible = false;

    friend auto operator<=>(placement const&, placement const&) = default;
};

/// Chooses the member with the shortest expected response time among those that
/// meet the requirements. Statements that replicas may execute go to the
/// primary only where its weighted response time is shorter, or where no
/// replica is likely to have applied enough. A member in another data centre is
/// chosen only where its response time is shorter by the same weight: traffic
/// between data centres is dear. A member at which a connection has to be
/// opened first is a candidate, with the time of the opening added. This
/// balances load that is uneven among the members and avoids replicas that fall
/// behind.
placement choose_member(placement_requirements const& requirements,
                        std::span<member_condition const> members,
                        state::time_point now);

} // namespace camphortide::coordination
