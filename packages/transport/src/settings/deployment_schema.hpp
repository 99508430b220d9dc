#pragma once

#include "schema.hpp"

#include <camphortide/transport/settings/deployment.hpp>

namespace camphortide::transport
{

/// @return the schema of a deployment file
schema<deployment> const& deployment_schema();

/// Validates the names in a deployment: names are unique, and each reference
/// names an existing record.
/// @param value the parsed deployment
/// @param reporter receives every error
void check_deployment(deployment const& value, error_reporter const& reporter);

} // namespace camphortide::transport
