#include "certificate_authority.hpp"

#include <cstdio>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <stdexcept>

#include <openssl/evp.h>
#include <openssl/pem.h>
#include <openssl/x509.h>
#include <openssl/x509v3.h>
#include <unistd.h>

#include <camphortide/transport/platform/client_credentials.hpp>

namespace camphortide::tests
{

namespace
{

constexpr long valid_seconds = 3600;
constexpr long x509_version_3 = 2;
constexpr char const* common_name = "CN";

template <auto Free>
struct deleter
{
    template <typename Value>
    void operator()(Value* value) const
    {
        Free(value);
    }
};

using key_ptr = std::unique_ptr<EVP_PKEY, deleter<EVP_PKEY_free>>;
using certificate_ptr = std::unique_ptr<X509, deleter<X509_free>>;
using extension_ptr =
    std::unique_ptr<X509_EXTENSION, deleter<X509_EXTENSION_free>>;
using file_ptr = std::unique_ptr<std::FILE, deleter<std::fclose>>;

void require(bool succeeded)
{
    if (!succeeded)
    {
        throw std::runtime_error("an OpenSSL call failed");
    }
}

key_ptr make_key()
{
    key_ptr key(EVP_EC_gen("P-256"));
    require(key != nullptr);
    return key;
}

void set_name(X509_NAME* name, std::string const& text)
{
    require(X509_NAME_add_entry_by_txt(
                name, common_name, MBSTRING_ASC,
                reinterpret_cast<unsigned char const*>(text.c_str()), -1, -1,
                0) == 1);
}

void add_extension(X509* certificate, int kind, char const* value)
{
    X509V3_CTX context;
    X509V3_set_ctx_nodb(&context);
    X509V3_set_ctx(&context, certificate, certificate, nullptr, nullptr, 0);
    extension_ptr const extension(
        X509V3_EXT_conf_nid(nullptr, &context, kind, value));
    require(extension != nullptr &&
            X509_add_ext(certificate, extension.get(), -1) == 1);
}

/// Creates an unsigned certificate.
certificate_ptr make_certificate(EVP_PKEY* key, std::string const& subject,
                                 std::string const& issuer, long serial)
{
    certificate_ptr certificate(X509_new());
    require(certificate != nullptr);
    X509_set_version(certificate.get(), x509_version_3);
    ASN1_INTEGER_set(X509_get_serialNumber(certificate.get()), serial);
    X509_gmtime_adj(X509_getm_notBefore(certificate.get()), -valid_seconds);
    X509_gmtime_adj(X509_getm_notAfter(certificate.get()), valid_seconds);
    X509_set_pubkey(certificate.get(), key);
    set_name(X509_get_subject_name(certificate.get()), subject);
    set_name(X509_get_issuer_name(certificate.get()), issuer);
    return certificate;
}

void sign(X509* certificate, EVP_PKEY* key)
{
    require(X509_sign(certificate, key, EVP_sha256()) > 0);
}

file_ptr open(std::string const& path)
{
    file_ptr file(std::fopen(path.c_str(), "w"));
    require(file != nullptr);
    return file;
}

void write(std::string const& path, X509* certificate)
{
    require(PEM_write_X509(open(path).get(), certificate) == 1);
}

void write(std::string const& path, EVP_PKEY* key)
{
    require(PEM_write_PrivateKey(open(path).get(), key, nullptr, nullptr, 0,
                                 nullptr, nullptr) == 1);
}

std::string file_path(std::string const& name, std::string const& kind)
{
    return (std::filesystem::temp_directory_path() /
            ("camphortide-" + std::to_string(getpid()) + "-" + name + "-" +
             kind + ".pem"))
        .string();
}

std::string read_file(std::string const& path)
{
    std::ifstream stream(path);
    return {std::istreambuf_iterator<char>(stream), {}};
}

} // namespace

certificate_authority::certificate_authority(std::string const& name)
    : m_authority_file(file_path(name, "authority")),
      m_certificate_file(file_path(name, "certificate")),
      m_key_file(file_path(name, "key"))
{
    auto const authority_key = make_key();
    auto const authority = make_certificate(authority_key.get(), name, name, 1);
    add_extension(authority.get(), NID_basic_constraints, "critical,CA:TRUE");
    sign(authority.get(), authority_key.get());
    auto const key = make_key();
    auto const certificate = make_certificate(key.get(), "server", name, 2);
    add_extension(certificate.get(), NID_subject_alt_name, "IP:127.0.0.1");
    sign(certificate.get(), authority_key.get());
    write(m_authority_file, authority.get());
    write(m_certificate_file, certificate.get());
    write(m_key_file, key.get());
}

certificate_authority::~certificate_authority()
{
    for (auto const& file : {m_authority_file, m_certificate_file, m_key_file})
    {
        std::remove(file.c_str());
    }
}

std::shared_ptr<grpc::ServerCredentials> certificate_authority::server() const
{
    grpc::SslServerCredentialsOptions options;
    options.pem_key_cert_pairs.push_back(
        {read_file(m_key_file), read_file(m_certificate_file)});
    return grpc::SslServerCredentials(options);
}

std::shared_ptr<grpc::ChannelCredentials> certificate_authority::client() const
{
    return transport::client_credentials(m_authority_file);
}

} // namespace camphortide::tests
