#pragma once

#include <camphortide/coordination/limits/entry_limits.hpp>
#include <camphortide/state/catalogue.hpp>

namespace camphortide::transport
{

/// Computes the limits that one home applies to an entry.
/// @param entry of the catalogue
/// @param homes the number of homes that divide the entry's limits evenly
/// @return the limits for one of them
coordination::entry_limits limits_of(state::catalogue_entry const& entry,
                                     std::size_t homes);

/// @return true if both groups have the same members at the same addresses, in
///     the same order
bool same_members(state::group_description const& left,
                  state::group_description const& right);

} // namespace camphortide::transport
