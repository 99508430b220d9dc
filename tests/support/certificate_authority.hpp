#pragma once

#include <memory>
#include <string>

#include <grpcpp/grpcpp.h>

namespace camphortide::tests
{

/// An authority that lives as long as a test, with one server's certificate
/// for 127.0.0.1. Its files are removed at the end.
class certificate_authority
{
public:
    /// @param name of the authority; its files are named after it
    explicit certificate_authority(std::string const& name);
    ~certificate_authority();
    certificate_authority(certificate_authority const&) = delete;
    certificate_authority& operator=(certificate_authority const&) = delete;

    /// @return the path of the authority's own certificate, PEM
    std::string const& authority_file() const { return m_authority_file; }

    /// @return the path of the server's certificate, PEM
    std::string const& certificate_file() const { return m_certificate_file; }

    /// @return the path of the server's key, PEM
    std::string const& key_file() const { return m_key_file; }

    /// @return credentials of a server with the certificate
    std::shared_ptr<grpc::ServerCredentials> server() const;

    /// @return credentials of a client that trusts this authority alone
    std::shared_ptr<grpc::ChannelCredentials> client() const;

private:
    std::string const m_authority_file;
    std::string const m_certificate_file;
    std::string const m_key_file;
};

} // namespace camphortide::tests
