#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <camphortide/coordination/fleet/group_homes.hpp>
#include <camphortide/coordination/limits/allowance.hpp>
#include <camphortide/coordination/limits/keeper_order.hpp>
#include <camphortide/coordination/primary/primary_permit.hpp>
#include <camphortide/state/member_entry.hpp>
#include <camphortide/state/route.hpp>

namespace camphortide::proxy
{

/// Connections of each member that are reserved for the instance that replaces
/// primaries.
inline constexpr std::uint32_t reserved_connections = 2;

/// @param max_connections maximum number of connections to a member
/// @return the number of them that the homes share
constexpr std::uint32_t shared_connections(std::uint32_t max_connections)
{
    return max_connections > reserved_connections
               ? max_connections - reserved_connections
               : max_connections;
}

/// Homes by group.
using home_map = std::map<std::string, coordination::group_homes>;

/// Immutable snapshot of the deployment that the control thread passes to the
/// traffic thread.
struct fleet_view
{
    std::shared_ptr<state::configuration const> m_configuration;
    std::string m_instance;    ///< name of this instance
    std::string m_data_centre; ///< of this instance
    /// Members by group.
    std::map<std::string, std::vector<state::member_entry>> m_members;
    /// Status of the primaries by group.
    std::map<std::string, coordination::primary_status> m_primaries;
    /// Instances that have connections to the members, by group.
    /// A new object whenever one of them changes; null: none are known.
    std::shared_ptr<home_map const> m_homes;
    /// The registered instances, by name.
    std::shared_ptr<std::vector<coordination::keeper_candidate> const>
        m_instances;
    /// Part of them whose process has just started.
    double m_young_share = 0;
    /// The records of the instances are at least as new as this.
    state::time_point m_records_verified_at;
    state::allowance_rule m_allowance;
};

} // namespace camphortide::proxy
