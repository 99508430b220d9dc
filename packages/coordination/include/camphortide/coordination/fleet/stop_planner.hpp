#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include <camphortide/coordination/fleet/home_table.hpp>
#include <camphortide/state/catalogue.hpp>
#include <camphortide/state/planned_stop.hpp>

namespace camphortide::coordination
{

/// Where the objects of planned stops are in the platform's store.
inline constexpr std::string_view stop_prefix = "stops/";

/// A member of a group.
struct group_member
{
    std::string m_group;
    std::string m_member;

    friend auto operator<=>(group_member const&, group_member const&) = default;
};

/// What a home sees of a member.
struct member_observation
{
    group_member m_group_member;
    bool m_is_primary = false;
    bool m_is_leaving = false;       ///< the member said so itself
    std::uint32_t m_connections = 0; ///< open on it, of all instances

    friend auto operator<=>(member_observation const&,
                            member_observation const&) = default;
};

/// All that the plan of an instance depends on.
struct stop_planner_input
{
    std::span<state::planned_stop const> m_stops;
    state::catalogue const& m_catalogue;
    home_table const& m_homes;
    std::string_view m_self;
    std::span<member_observation const> m_members; ///< of groups at home here
    bool m_is_idle = false; ///< nothing in flight here, budgets given back
};

/// A write of a stop's object: the state and the groups it should have.
struct stop_report
{
    state::planned_stop m_stop; ///< with the version to compare

    friend auto operator<=>(stop_report const&, stop_report const&) = default;
};

/// What an instance has to do now about all planned stops.
struct stop_plan
{
    bool m_drain_self = false; ///< announce leaving, take no new requests
    std::vector<group_member> m_excluded_members; ///< sorted
    std::vector<group_member> m_switch_over; ///< primaries to move elsewhere
    std::vector<stop_report> m_reports;

    friend bool operator==(stop_plan const&, stop_plan const&) = default;

    /// @return true if the member is to get no new work
    bool excludes(group_member const& member) const;
};

/// Decides what one instance has to do. Of two stops that would together take
/// the majority of a group away, the later one waits.
/// @param input what is known
/// @return the plan
stop_plan plan_stops(stop_planner_input const& input);

/// Why a stop can't be planned.
enum class stop_problem
{
    unknown_instance,
    unknown_group,
    unknown_member,
    unknown_endpoint,
    duplicate,       ///< the same target is stopping already
    majority_at_risk ///< other stops of the group are active
};

/// @return the problem's name as reports print it
std::string_view to_string(stop_problem value);

/// Checks a stop before it is written.
/// @param stop the stop
/// @param active the other stops
/// @param catalogue the catalogue
/// @param instances the instances that are known
/// @return the first problem; none if it may be planned
std::optional<stop_problem>
check_stop(state::planned_stop const& stop,
           std::span<state::planned_stop const> active,
           state::catalogue const& catalogue,
           std::span<state::instance_record const> instances);

} // namespace camphortide::coordination
