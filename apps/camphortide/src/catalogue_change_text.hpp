#pragma once

#include <string>

#include <camphortide/coordination/fleet/catalogue_change.hpp>

namespace camphortide::command_line
{

/// Finds what an operator changed.
/// @param base the catalogue that the operator started from
/// @param wanted the catalogue that the operator wants
/// @return the records that differ; without identifier and operator
coordination::catalogue_change make_change(state::catalogue const& base,
                                           state::catalogue const& target);

/// @return a line for each record that a change adds, removes or changes
std::string change_text(coordination::catalogue_change const& change);

/// @return lines that say what became of a change, and why
std::string result_text(coordination::edit_result const& result);

} // namespace camphortide::command_line
