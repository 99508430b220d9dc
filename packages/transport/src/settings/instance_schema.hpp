#pragma once

#include "schema.hpp"

#include <camphortide/transport/settings/instance_settings.hpp>

namespace camphortide::transport
{

/// @return the schema of an instance's settings
schema<instance_settings> const& instance_schema();

/// Validates constraints between several settings, and that configured files
/// exist.
/// @param settings the parsed settings
/// @param reporter receives every error
void check_instance_settings(instance_settings const& settings,
                             error_reporter const& reporter);

} // namespace camphortide::transport
