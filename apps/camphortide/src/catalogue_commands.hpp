#pragma once

#include "command.hpp"

namespace camphortide::command_line
{

/// `catalogue get`: prints the stored catalogue as a file.
exit_code run_catalogue_get(arguments const& words, console const& to);

/// `catalogue diff FILE`: shows what applying a file would change.
exit_code run_catalogue_diff(arguments const& words, console const& to);

/// `catalogue apply FILE`: makes the stored catalogue that of a file.
exit_code run_catalogue_apply(arguments const& words, console const& to);

/// `catalogue resolve CHANGE`: tells what became of a change.
exit_code run_catalogue_resolve(arguments const& words, console const& to);

/// `catalogue history`: shows the latest changes.
exit_code run_catalogue_history(arguments const& words, console const& to);

} // namespace camphortide::command_line
