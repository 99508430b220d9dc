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

/// Token key of all instances in a test.
inline std::string const token_key(64, 'a');

/// Describes a deployment with one group of three members, without latencies.
/// @param instances number of instances, named entry-1, entry-2, ...
/// @param homes number of homes of the group; nothing: every instance
/// @return the deployment; its only entry is "checkouts", owned by "desks"
transport::deployment small_deployment(std::size_t instances,
                                       std::optional<std::uint32_t> homes);

/// A caller that keeps the token of its session.
class session
{
public:
    /// @param address address of an instance
    /// @param credentials credentials of the channel
    explicit session(std::string const& address,
                     std::shared_ptr<grpc::ChannelCredentials> credentials =
                         grpc::InsecureChannelCredentials());

    /// Continues the session at another instance.
    void move_to(std::string const& address);

    /// Executes a write and stores the new token.
    grpc::Status write(std::string const& statement, std::string const& key);

    /// Executes a read and stores the new token.
    grpc::Status read(std::string const& statement);

    /// Requests the outcome of a request key.
    grpc::Status get_outcome(std::string const& key, v1::OutcomeReply& reply);

    /// @return the last reply
    v1::Reply const& reply() const { return m_reply; }

    v1::Access::Stub& stub() { return *m_stub; }

    /// Adds the customer's credential to a call.
    static void authorize(grpc::ClientContext& context);

private:
    v1::Request make_request(std::string const& statement) const;

    std::shared_ptr<grpc::ChannelCredentials> m_credentials;
    std::unique_ptr<v1::Access::Stub> m_stub;
    std::string m_token;
    v1::Reply m_reply;
};

/// @return the failure in the error details of a status
v1::Failure failure_of(grpc::Status const& status);

} // namespace camphortide::tests
