#pragma once

#include <memory>
#include <string>

#include <grpcpp/grpcpp.h>

namespace camphortide::transport
{

/// Creates the credentials of a client's channel.
/// @param authority_file PEM of the certificate authority that must have issued
///     the server's certificate; empty: no TLS
/// @return the credentials; if the file cannot be read, every call fails
std::shared_ptr<grpc::ChannelCredentials>
client_credentials(std::string const& authority_file);

} // namespace camphortide::transport
