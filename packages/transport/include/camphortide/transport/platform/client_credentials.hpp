#pragma once

#include <memory>
#include <string>

#include <grpcpp/grpcpp.h>

namespace camphortide::transport
{

/// The credentials of a client's channel.
/// @param authority_file PEM of the authority that the server's certificate
///     must come from; empty: no TLS
/// @return the credentials; with a file that cannot be read, every call fails
std::shared_ptr<grpc::ChannelCredentials>
client_credentials(std::string const& authority_file);

} // namespace camphortide::transport
