#pragma once

#include <string_view>
#include <vector>

#include <camphortide/coordination/fleet/stop_planner.hpp>

namespace camphortide::coordination
{

/// @param address HOST:PORT
/// @return the host
std::string_view host_of(std::string_view address);

/// Finds the members that a stop takes out of service.
/// @param stop a stop
/// @param catalogue the catalogue
/// @return the members by group; none for a stop of an instance
std::vector<group_member> stop_targets(state::planned_stop const& stop,
                                       state::catalogue const& catalogue);

/// @param group a group
/// @return the number of its members that may be stopped at a time
std::size_t stoppable_members(state::group_description const& group);

} // namespace camphortide::coordination
