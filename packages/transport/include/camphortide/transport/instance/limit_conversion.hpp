#pragma once

#include <camphortide/coordination/limits/entry_limits.hpp>
#include <camphortide/state/catalogue.hpp>

namespace camphortide::transport
{

/// Works out what a home may let an entry use.
/// @param entry of the catalogue
/// @param homes that share the entry's limits
/// @return the limits for one of them
coordination::entry_limits limits_of(state::catalogue_entry const& entry,
                                     std::size_t homes);

/// @return true if both groups have the same members at the same addresses
bool same_members(state::group_description const& left,
                  state::group_description const& right);

} // namespace camphortide::transport
