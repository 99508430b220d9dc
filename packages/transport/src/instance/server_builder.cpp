#include <fstream>
#include <mutex>
#include <optional>
#include <sstream>

#include <grpcpp/ext/proto_server_reflection_plugin.h>
#include <grpcpp/health_check_service_interface.h>
#include <openssl/err.h>
#include <openssl/pem.h>
#include <openssl/x509.h>

#include <camphortide/transport/instance/server_builder.hpp>

namespace camphortide::transport
{

namespace
{

std::optional<std::string> read_file(std::string const& path)
{
    std::ifstream file(path);
    if (!file)
    {
        return std::nullopt;
    }
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

using bio_ptr = std::unique_ptr<BIO, decltype(&BIO_free)>;
using certificate_ptr = std::unique_ptr<X509, decltype(&X509_free)>;
using key_ptr = std::unique_ptr<EVP_PKEY, decltype(&EVP_PKEY_free)>;

bio_ptr make_memory_bio(std::string const& text)
{
    return {BIO_new_mem_buf(text.data(), static_cast<int>(text.size())),
            BIO_free};
}

/// @return true if the certificate and the key can be parsed and match
bool key_matches(std::string const& certificate, std::string const& key)
{
    certificate_ptr const parsed_certificate(
        PEM_read_bio_X509(make_memory_bio(certificate).get(), nullptr, nullptr,
                          nullptr),
        X509_free);
    std::string no_passphrase; // without one, OpenSSL prompts for it
    key_ptr const parsed_key(PEM_read_bio_PrivateKey(make_memory_bio(key).get(),
                                                     nullptr, nullptr,
                                                     no_passphrase.data()),
                             EVP_PKEY_free);
    bool const matches =
        parsed_certificate && parsed_key &&
        X509_check_private_key(parsed_certificate.get(), parsed_key.get()) == 1;
    ERR_clear_error();
    return matches;
}

absl::StatusOr<std::shared_ptr<grpc::ServerCredentials>>
make_credentials(instance_settings const& settings)
{
    if (settings.m_tls_certificate.empty())
    {
        return grpc::InsecureServerCredentials();
    }
    auto const certificate = read_file(settings.m_tls_certificate);
    auto const key = read_file(settings.m_tls_key);
    if (!certificate || !key)
    {
        return absl::InvalidArgumentError(
            "a TLS file cannot be read: " + settings.m_tls_certificate + ", " +
            settings.m_tls_key);
    }
    if (!key_matches(*certificate, *key))
    {
        return absl::InvalidArgumentError(
            "the TLS certificate and key are invalid or do not match: " +
            settings.m_tls_certificate + ", " + settings.m_tls_key);
    }
    grpc::SslServerCredentialsOptions options;
    options.pem_key_cert_pairs.push_back({*key, *certificate});
    return grpc::SslServerCredentials(options);
}

void enable_plugins_once()
{
    static std::once_flag done;
    std::call_once(
        done,
        []
        {
            grpc::EnableDefaultHealthCheckService(true);
            grpc::reflection::InitProtoReflectionServerBuilderPlugin();
        });
}

} // namespace

absl::StatusOr<std::unique_ptr<grpc::Server>>
open_server(instance_settings const& settings, std::string const& listen,
            grpc::Service& service, std::string& address)
{
    enable_plugins_once();
    auto credentials = make_credentials(settings);
    if (!credentials.ok())
    {
        return credentials.status();
    }
    int port = 0;
    grpc::ServerBuilder builder;
    builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
    builder.SetMaxReceiveMessageSize(
        static_cast<int>(2 * settings.m_max_message_bytes));
    builder.AddListeningPort(listen, *credentials, &port);
    builder.RegisterService(&service);
    auto server = builder.BuildAndStart();
    if (!server || port == 0)
    {
        return absl::UnavailableError("the address is in use: " + listen);
    }
    address = listen.substr(0, listen.rfind(':') + 1) + std::to_string(port);
    return server;
}

} // namespace camphortide::transport
