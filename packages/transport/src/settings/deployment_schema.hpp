#pragma once

#include "schema.hpp"

#include <camphortide/transport/settings/deployment.hpp>

namespace camphortide::transport
{

/// @return the table of a deployment file
schema<deployment> const& deployment_schema();

/// Checks the names that parts of a deployment use for others.
/// @param value the deployment as read
/// @param reader receives every fault
void check_deployment(deployment const& value, error_reporter const& reporter);

} // namespace camphortide::transport
