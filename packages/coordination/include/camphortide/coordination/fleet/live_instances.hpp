#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include <camphortide/state/fleet_records.hpp>
#include <camphortide/state/instance_record.hpp>

namespace camphortide::coordination
{

/// @param instances all registered instances
/// @return those that aren't expelled, as a view for the choice of homes and
///     watchers
std::vector<state::instance_record>
live_instances(std::map<std::string,
                        state::stored<state::instance_entry>> const& instances);

/// Sorts instances by one instance's preference: those of its own data centre
/// first, then by rendezvous hashing, which distributes requests over them.
/// @param instances the instances to sort
/// @param self the name of the instance that sends requests
/// @param own_data_centre its data centre
void sort_nearest_first(std::vector<state::instance_record>& instances,
                        std::string_view self,
                        std::string_view own_data_centre);

} // namespace camphortide::coordination
