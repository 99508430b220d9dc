#pragma once

#include <grpcpp/grpcpp.h>

#include <camphortide/state/outcome.hpp>
#include <camphortide/v1/access.pb.h>

namespace camphortide::transport
{

/// Maps a reason to the gRPC status code that callers expect.
/// @param why why a request was not executed, or why its outcome is unknown
/// @return the code; INTERNAL for a reason that has no code of its own
grpc::StatusCode status_code(state::reason why);

/// Builds the status that ends a call, with the serialized failure in its error
/// details.
/// @param failure the outcome, the reason and the hints for a retry
/// @return the status
grpc::Status to_status(v1::Failure const& failure);

} // namespace camphortide::transport
