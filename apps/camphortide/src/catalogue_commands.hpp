#pragma once

#include "command.hpp"

namespace camphortide::command_line
{

/// `catalogue get`: prints the stored catalogue as a file.
exit_code run_catalogue_get(arguments const& args, console const& output);

/// `catalogue diff FILE`: shows what applying a file would change.
exit_code run_catalogue_diff(arguments const& args, console const& output);

/// `catalogue apply FILE`: updates the stored catalogue to that of a file.
exit_code run_catalogue_apply(arguments const& args, console const& output);

/// `catalogue resolve CHANGE`: prints the outcome of a change.
exit_code run_catalogue_resolve(arguments const& args, console const& output);

/// `catalogue history`: shows the latest changes.
exit_code run_catalogue_history(arguments const& args, console const& output);

} // namespace camphortide::command_line
