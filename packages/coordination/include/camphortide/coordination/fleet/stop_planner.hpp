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

/// Prefix of the objects of planned stops in the platform's store.
inline constexpr std::string_view stop_prefix = "stops/";

/// A member of a group.
struct group_member
{
    std::string m_group;
    std::string m_member;

    friend auto operator<=>(group_member const&, group_member const&) = default;
};

/// What a home observes of a member.
struct member_observation
{
    group_member m_group_member;
    bool m_is_primary = false;
    bool m_is_leaving = false;       ///< announced by the member itself
    std::uint32_t m_connections = 0; ///< open connections of all instances

    friend auto operator<=>(member_observation const&,
                            member_observation const&) = default;
};

/// Everything that the plan of an instance depends on.
struct stop_planner_input
{
    std::span<state::planned_stop const> m_stops;
    state::catalogue const& m_catalogue;
    home_table const& m_homes;
    std::string_view m_self;
    /// Of groups whose home is this instance.
    std::span<member_observation const> m_members;
    /// No request in flight, connection budgets released.
    bool m_is_idle = false;
};

/// A write of a stop's object, with its new state and drained groups.
struct stop_report
{
    /// Its object version is the condition of the write.
    state::planned_stop m_stop;

    friend auto operator<=>(stop_report const&, stop_report const&) = default;
};

/// What an instance has to do for all planned stops.
struct stop_plan
{
    bool m_drain_self = false; ///< announce leaving and accept no new requests
    std::vector<group_member> m_excluded_members; ///< get no new work; sorted
    /// Primaries that need a switchover.
    std::vector<group_member> m_switch_over;
    std::vector<stop_report> m_reports;

    friend bool operator==(stop_plan const&, stop_plan const&) = default;

    /// @return true if the member must get no new work
    bool excludes(group_member const& member) const;
};

/// Determines what one instance has to do. If two stops together would take
/// away the majority of a group, the later one waits.
/// @param input everything the plan depends on
/// @return the plan
stop_plan plan_stops(stop_planner_input const& input);

/// Why a stop can't be planned.
enum class stop_problem
{
    unknown_instance,
    unknown_group,
    unknown_member,
    unknown_endpoint,
    duplicate,       ///< the target has another stop in force
    majority_at_risk ///< together with other stops of the group
};

/// @return the name of the problem as printed in reports
std::string_view to_string(stop_problem value);

/// Checks a stop before it is written.
/// @param stop the stop
/// @param active the other stops
/// @param catalogue the catalogue
/// @param instances all instances
/// @return the first problem; none if the stop may be planned
std::optional<stop_problem>
check_stop(state::planned_stop const& stop,
           std::span<state::planned_stop const> active,
           state::catalogue const& catalogue,
           std::span<state::instance_record const> instances);

} // namespace camphortide::coordination
