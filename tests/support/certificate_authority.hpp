#pragma once

#include <memory>
#include <string>

#include <grpcpp/grpcpp.h>

namespace camphortide::tests
{

/// A temporary certificate authority that has issued one server certificate for
/// 127.0.0.1. The destructor removes its files.
class certificate_authority
{
public:
    /// @param name name of the authority, also part of its file names
    explicit certificate_authority(std::string const& name);
    ~certificate_authority();
    certificate_authority(certificate_authority const&) = delete;
    certificate_authority& operator=(certificate_authority const&) = delete;

    /// @return the path of the authority's own certificate in PEM format
    std::string const& authority_file() const { return m_authority_file; }

    /// @return the path of the server certificate in PEM format
    std::string const& certificate_file() const { return m_certificate_file; }

    /// @return the path of the server key in PEM format
    std::string const& key_file() const { return m_key_file; }

    /// @return server credentials that use the certificate
    std::shared_ptr<grpc::ServerCredentials> server() const;

    /// @return client credentials that trust only this authority
    std::shared_ptr<grpc::ChannelCredentials> client() const;

private:
    std::string const m_authority_file;
    std::string const m_certificate_file;
    std::string const m_key_file;
};

} // namespace camphortide::tests
