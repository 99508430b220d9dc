#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <camphortide/coordination/fleet/group_homes.hpp>
#include <camphortide/coordination/primary/primary_permit.hpp>
#include <camphortide/state/member_entry.hpp>
#include <camphortide/state/route.hpp>

namespace camphortide::proxy
{

/// Connections of a member that are left to whoever replaces primaries.
inline constexpr std::uint32_t reserved_connections = 2;

/// @param cap of a member's connections
/// @return those that homes share
constexpr std::uint32_t shared_connections(std::uint32_t cap)
{
    return cap > reserved_connections ? cap - reserved_connections : cap;
}

/// All that the traffic needs to know of the deployment, as the control
/// thread hands it over: a value that never changes.
struct fleet_view
{
    std::shared_ptr<state::configuration const> m_configuration;
    /// members by group
    std::map<std::string, std::vector<state::member_entry>> m_members;
    /// what is known of the primaries, by group
    std::map<std::string, coordination::primary_status> m_standings;
    /// who has connections to the members, by group
    std::map<std::string, coordination::group_homes> m_homes;
};

} // namespace camphortide::proxy
