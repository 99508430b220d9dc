#pragma once

#include <grpcpp/grpcpp.h>

#include <camphortide/state/outcome.hpp>
#include <camphortide/v1/access.pb.h>

namespace camphortide::transport
{

/// The gRPC status code that callers expect for a reason.
/// @param why the reason of a request that was not executed or is unknown
/// @return the code; INTERNAL for a reason without one
grpc::StatusCode status_code(state::reason why);

/// Builds the status that ends a call, with the failure in its details.
/// @param failure the outcome, reason and hints
/// @return the status
grpc::Status to_status(v1::Failure const& failure);

} // namespace camphortide::transport
