#pragma once

#include <camphortide/coordination/fleet/catalogue_change.hpp>
#include <camphortide/standin/platform/platform_standin.hpp>

namespace camphortide::standin
{

/// Applies a change of the catalogue to the platform's stand-in, unaffected by
/// its faults and rates.
/// @param platform the stand-in
/// @param change the change
/// @return the result of the change
coordination::edit_result
publish_change(platform_standin& platform,
               coordination::catalogue_change const& change);

/// Creates the change from an empty catalogue to a given one.
/// @param value the catalogue
/// @param id the change's identifier
/// @return the change
coordination::catalogue_change initial_change(state::catalogue const& value,
                                              std::string id);

} // namespace camphortide::standin
