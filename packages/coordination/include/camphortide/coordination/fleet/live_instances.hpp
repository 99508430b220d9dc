#pragma once

#include <map>
#include <string>
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

} // namespace camphortide::coordination
