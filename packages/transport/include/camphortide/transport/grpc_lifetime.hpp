#pragma once

namespace camphortide::transport
{

/// Keeps gRPC and its callback threads alive until the process ends.
///
/// gRPC stops these threads together with the last channel or server. If a
/// callback releases the last one, its thread joins itself and then uses a
/// completion queue that is destroyed. Cheap after the first call; may be
/// called on any thread.
void keep_grpc_alive();

} // namespace camphortide::transport
