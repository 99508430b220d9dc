#pragma once

#include <vector>

#include <camphortide/state/catalogue.hpp>
#include <camphortide/state/catalogue_problem.hpp>

namespace camphortide::state
{

/// Validates a whole catalogue. A catalogue with any problem is rejected.
/// @param value the catalogue
/// @return all problems; empty if the catalogue is valid. Duplicate names come
///     first, then the problems of groups, then those of entries
std::vector<catalogue_problem> validate(catalogue const& value);

} // namespace camphortide::state
