#pragma once

#include <memory>
#include <string>

#include <absl/status/statusor.h>
#include <grpcpp/grpcpp.h>

#include <camphortide/transport/settings/instance_settings.hpp>

namespace camphortide::transport
{

/// Starts a gRPC server with the health and reflection services.
/// @param settings message limit, and certificate and key if TLS is used
/// @param listen IP:PORT; port 0 selects a free port
/// @param service to serve; must outlive the server
/// @param address set to the address with the actual port
/// @return UNAVAILABLE if the address is in use, INVALID_ARGUMENT if the
///     certificate or the key cannot be read or they do not match
absl::StatusOr<std::unique_ptr<grpc::Server>>
open_server(instance_settings const& settings, std::string const& listen,
            grpc::Service& service, std::string& address);

} // namespace camphortide::transport
