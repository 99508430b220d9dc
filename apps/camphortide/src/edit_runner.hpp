#pragma once

#include "blocking_platform_client.hpp"

#include <camphortide/coordination/fleet/catalogue_edit.hpp>

namespace camphortide::command_line
{

/// Applies a catalogue change to the store, or resolves the outcome of an
/// earlier change. Blocks for a minute at most.
/// @param platform the store
/// @param change the change; `resolve` needs only its identifier
/// @param purpose whether to apply or to resolve the change
/// @return the outcome of the change
coordination::edit_result
run_edit(blocking_platform_client& platform,
         coordination::catalogue_change const& change,
         coordination::catalogue_edit::purpose purpose);

} // namespace camphortide::command_line
