#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include <grpcpp/grpcpp.h>

#include <camphortide/standin/deployment/running_deployment.hpp>
#include <camphortide/v1/access.grpc.pb.h>

namespace camphortide::tests
{

/// The token key of all instances of a test.
inline std::string const token_key(64, 'a');

/// Describes a deployment of one group of three members without latencies.
/// @param instances how many, named entry-1 and so on
/// @param homes of the group; nothing: every instance
/// @return the deployment; its entry is "checkouts" of "desks"
transport::deployment small_deployment(std::size_t instances,
                                       std::optional<std::uint32_t> homes);

/// A caller that keeps its session's token.
class session
{
public:
    /// @param address of an instance
    /// @param credentials of the channel
    explicit session(std::string const& address,
                     std::shared_ptr<grpc::ChannelCredentials> credentials =
                         grpc::InsecureChannelCredentials());

    /// Goes on at another instance.
    void move_to(std::string const& address);

    /// Runs a write, and keeps the new token.
    grpc::Status write(std::string const& statement, std::string const& key);

    /// Runs a read, and keeps the new token.
    grpc::Status read(std::string const& statement);

    /// Asks what became of a key.
    grpc::Status get_outcome(std::string const& key, v1::OutcomeReply& reply);

    /// @return the latest reply
    v1::Reply const& reply() const { return m_reply; }

    v1::Access::Stub& stub() { return *m_stub; }

    /// Adds the credential to a call.
    static void authorize(grpc::ClientContext& context);

private:
    v1::Request make_request(std::string const& statement) const;

    std::shared_ptr<grpc::ChannelCredentials> m_credentials;
    std::unique_ptr<v1::Access::Stub> m_stub;
    std::string m_token;
    v1::Reply m_reply;
};

/// @return why a call failed
v1::Failure failure_of(grpc::Status const& status);

} // namespace camphortide::tests
