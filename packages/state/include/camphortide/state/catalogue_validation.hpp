#pragma once

#include <vector>

#include <camphortide/state/catalogue.hpp>
#include <camphortide/state/catalogue_problem.hpp>

namespace camphortide::state
{

/// Checks a catalogue as a whole. A catalogue with any problem is refused.
/// @param value the catalogue
/// @return every problem found, groups first; empty if it may be accepted
std::vector<catalogue_problem> validate(catalogue const& value);

} // namespace camphortide::state
