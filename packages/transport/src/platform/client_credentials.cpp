#include <fstream>
#include <iterator>

#include <camphortide/transport/platform/client_credentials.hpp>

namespace camphortide::transport
{

namespace
{

/// Invalid PEM text, with which no server certificate is accepted. With an
/// empty text gRPC would use the machine's default root certificates.
constexpr char const* unusable_root_certificate = "unreadable";

} // namespace

std::shared_ptr<grpc::ChannelCredentials>
client_credentials(std::string const& authority_file)
{
    if (authority_file.empty())
    {
        return grpc::InsecureChannelCredentials();
    }
    std::ifstream stream(authority_file, std::ios::binary);
    grpc::SslCredentialsOptions options;
    options.pem_root_certs.assign(std::istreambuf_iterator<char>(stream), {});
    if (options.pem_root_certs.empty())
    {
        options.pem_root_certs = unusable_root_certificate;
    }
    return grpc::SslCredentials(options);
}

} // namespace camphortide::transport
