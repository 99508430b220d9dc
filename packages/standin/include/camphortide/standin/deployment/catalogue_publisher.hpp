#pragma once

#include <camphortide/coordination/fleet/catalogue_change.hpp>
#include <camphortide/standin/platform/platform_standin.hpp>

namespace camphortide::standin
{

/// Carries a change of the catalogue into the platform's stand-in, past its
/// faults and limits.
/// @param platform the stand-in
/// @param change the change
/// @return what became of it
coordination::edit_result
publish_change(platform_standin& platform,
               coordination::catalogue_change const& change);

/// Makes the change that turns an empty catalogue into another.
/// @param value the catalogue
/// @param id the change's identifier
/// @return the change
coordination::catalogue_change initial_change(state::catalogue const& value,
                                              std::string id);

} // namespace camphortide::standin
