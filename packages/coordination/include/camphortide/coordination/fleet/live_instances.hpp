#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include <camphortide/state/fleet_records.hpp>
#include <camphortide/state/instance_record.hpp>

namespace camphortide::coordination
{

/// @return the registered instances that aren't expelled, as a view that
///     homes and watchers are chosen from
std::vector<state::instance_record>
live_instances(std::map<std::string,
                        state::stored<state::instance_entry>> const& instances);

/// Sorts instances as one of them prefers to ask them: those of its own data
/// centre in front, then by rendezvous, so that the askers spread over them.
/// @param self the name of the instance that asks
/// @param own_data_centre its data centre
void sort_nearest_first(std::vector<state::instance_record>& instances,
                        std::string_view self,
                        std::string_view own_data_centre);

} // namespace camphortide::coordination
