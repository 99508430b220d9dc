#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <camphortide/state/fleet_records.hpp>

namespace camphortide::coordination
{

/// A home: an instance that has connections to the members of a group.
struct home_address
{
    std::string m_name;
    std::string m_address; ///< where it accepts statements from other instances

    friend auto operator<=>(home_address const&, home_address const&) = default;
};

/// The homes of a group.
struct group_homes
{
    std::size_t m_count = 1; ///< homes, which share the connections
    bool m_is_home = true;   ///< this instance is one of them
    /// all of them, by preference; empty: every instance is a home
    std::vector<home_address> m_homes;
    /// Instances that serve callers who reach none of the homes, in the same
    /// order at every instance, so that all of them use the same few. This
    /// instance isn't listed.
    std::vector<home_address> m_stand_ins;
    bool m_is_stand_in = false; ///< this instance is one of them

    friend auto operator<=>(group_homes const&, group_homes const&) = default;
};

/// Connections of one home to each member, if not every instance is a home. A
/// higher number means fewer homes: statements wait in fewer queues and are
/// ordered better, but the loss of a home affects more callers.
inline constexpr std::size_t connections_per_home = 12;

/// Lower bound of the number of homes of a group: one in each of three data
/// centres, any of which may fail.
inline constexpr std::size_t min_homes = 3;

/// Number of instances that stand in for the homes of a group. A cut that takes
/// half of the instances off leaves a group without any in one of 500,000
/// cases.
inline constexpr std::size_t stand_ins_per_group = 16;

/// Every instance is a home if each can have at least this many connections to
/// a member: one for single statements, one for a transaction, and one for an
/// instance that restarts while the member still counts the connections of its
/// old process.
inline constexpr std::size_t min_connections_per_instance = 3;

/// Chooses the homes of a group. Every instance is a home as long as each can
/// have `min_connections_per_instance` connections to each member.
/// @param self the name of this instance
/// @param group the name of the group
/// @param connections to each member, shared by the instances
/// @param instances all registered instances
/// @param member_data_centres where the group has members; homes are placed
///     there if they can be in two of them, so that a statement crosses data
///     centres once at most before it is at a member's
/// @return the homes, and the instances that stand in for them
group_homes
choose_homes(std::string_view self, std::string_view group,
             std::size_t connections,
             std::map<std::string, state::stored<state::instance_entry>> const&
                 instances,
             std::set<std::string> const& member_data_centres = {});

} // namespace camphortide::coordination
