#pragma once

#include "schema.hpp"

#include <camphortide/transport/settings/instance_settings.hpp>

namespace camphortide::transport
{

/// @return the table of an instance's settings
schema<instance_settings> const& instance_schema();

/// Checks what no single field can tell.
/// @param settings the settings as read
/// @param reader receives every fault
void check_instance_settings(instance_settings const& settings,
                             error_reporter const& reporter);

} // namespace camphortide::transport
