#pragma once

#include <cstddef>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <camphortide/coordination/primary/primary_permit.hpp>
#include <camphortide/state/member_entry.hpp>
#include <camphortide/state/route.hpp>

namespace camphortide::proxy
{

/// All that the traffic needs to know of the deployment, as the control
/// thread hands it over: a value that never changes.
struct fleet_view
{
    std::shared_ptr<state::configuration const> m_configuration;
    /// members by group
    std::map<std::string, std::vector<state::member_entry>> m_members;
    /// what is known of the primaries, by group
    std::map<std::string, coordination::primary_standing> m_standings;
    std::size_t m_instances = 1; ///< that share the members' connections
};

} // namespace camphortide::proxy
