#pragma once

#include <string>

#include <camphortide/coordination/fleet/catalogue_change.hpp>

namespace camphortide::command_line
{

/// Computes the difference between two catalogues.
/// @param base the catalogue before the change
/// @param target the catalogue after the change
/// @return the records that differ; the identifier and the operator are not set
coordination::catalogue_change make_change(state::catalogue const& base,
                                           state::catalogue const& target);

/// @return one line for each record that is added, removed or modified
std::string change_text(coordination::catalogue_change const& change);

/// @return the outcome of a change with its conflicts and problems, one per
///     line
std::string result_text(coordination::edit_result const& result);

} // namespace camphortide::command_line
