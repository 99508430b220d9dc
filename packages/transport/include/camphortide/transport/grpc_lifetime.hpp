#pragma once

namespace camphortide::transport
{

/// Keeps gRPC and the threads of its callbacks until the process ends.
///
/// gRPC ends these threads with the last channel or server. When a callback
/// lets go of the last one, the thread would wait for itself, and go on with a
/// queue that is gone. Cheap after the first call; may be called on any thread.
void keep_grpc_alive();

} // namespace camphortide::transport
