#pragma once

#include <memory>
#include <string>

#include <absl/status/statusor.h>
#include <grpcpp/grpcpp.h>

#include <camphortide/transport/settings/instance_settings.hpp>

namespace camphortide::transport
{

/// Opens a gRPC server with the health and reflection services.
/// @param settings with the limits, and the keys if TLS is wanted
/// @param listen IP:PORT; port 0 takes a free one
/// @param service to serve; outlives the server
/// @param address is set to the address with the port it got
/// @return UNAVAILABLE if the address is taken, INVALID_ARGUMENT if the
///     key files cannot be read or do not belong together
absl::StatusOr<std::unique_ptr<grpc::Server>>
open_server(instance_settings const& settings, std::string const& listen,
            grpc::Service& service, std::string& address);

} // namespace camphortide::transport
