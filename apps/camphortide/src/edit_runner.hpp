#pragma once

#include "blocking_platform_client.hpp"

#include <camphortide/coordination/fleet/catalogue_edit.hpp>

namespace camphortide::command_line
{

/// Carries one change of the catalogue into the store, or finds out what
/// became of one. Takes a minute at most.
/// @param platform the store
/// @param change the change; for `resolve` its identifier is enough
/// @param wanted what to do
/// @return what became of the change
coordination::edit_result
run_edit(blocking_platform_client& platform,
         coordination::catalogue_change const& change,
         coordination::catalogue_edit::purpose purpose);

} // namespace camphortide::command_line
