#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <span>

#include <camphortide/coordination/placing/primary_positions.hpp>
#include <camphortide/state/clock.hpp>

namespace camphortide::coordination
{

/// What is known here of a member that statements may be sent to.
struct member_condition
{
    bool m_primary = false; ///< and may be used as such now
    bool m_usable = true;   ///< in service and not failing
    bool m_free = true;     ///< could take a statement now
    std::uint32_t m_in_flight = 0;
    double m_response_ms = 0; ///< of late, with what waited there
    /// last position that it was seen to hold
    std::optional<state::log_position> m_applied;
    state::duration m_lag{}; ///< of late, behind the primary

    friend auto operator<=>(member_condition const&,
                            member_condition const&) = default;
};

/// What a statement needs of the member that runs it.
struct placement_requirements
{
    bool m_primary = true; ///< only the primary may run it
    /// the log must hold this; nothing: any replica holds enough
    std::optional<state::log_position> m_required_position;
    /// about when the primary's log reached it
    std::optional<state::time_point> m_required_reached_at;
    std::uint32_t m_attempted = 0; ///< bit i: member i refused or lost it

    friend auto operator<=>(placement_requirements const&,
                            placement_requirements const&) = default;
};

/// Where a statement goes.
struct placement
{
    /// index of the member to send it to now; nothing: wait
    std::optional<std::size_t> m_member;
    bool m_possible = false; ///< a member could run it, now or once free

    friend auto operator<=>(placement const&, placement const&) = default;
};

/// Chooses the member with the shortest expected answer among those that hold
/// what the statement needs. The primary is kept for what only it can do: it
/// gets other statements only where no replica is likely to hold enough.
/// Answers load that is uneven among members, and replicas that fall behind.
placement choose_member(placement_requirements const& requirements,
                        std::span<member_condition const> members,
                        state::time_point now);

} // namespace camphortide::coordination
