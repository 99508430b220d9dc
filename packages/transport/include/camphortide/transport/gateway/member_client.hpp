#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include <grpcpp/grpcpp.h>

#include <camphortide/endpoint/v1/member.grpc.pb.h>
#include <camphortide/state/clock.hpp>
#include <camphortide/transport/client_stream.hpp>

namespace camphortide::transport
{

/// One database connection to a member.
class member_connection final
    : public client_stream<endpoint::v1::Statement,
                           endpoint::v1::StatementReply>
{
public:
    using reply_handler =
        std::function<void(endpoint::v1::StatementReply const&)>;
    using close_handler = std::function<void(grpc::Status const&)>;

    /// @param on_reply called for every message of the member
    /// @param on_close called once, when the connection has ended
    member_connection(reply_handler on_reply, close_handler on_close);

private:
    void handle(endpoint::v1::StatementReply const& reply) override;
    void on_closed(grpc::Status const& status) override;

    reply_handler m_on_reply;
    close_handler m_on_close;
};

/// A stream on which a member reports its status.
class member_observation final
    : public client_stream<endpoint::v1::Probe, endpoint::v1::MemberStatus>
{
public:
    using status_handler =
        std::function<void(endpoint::v1::MemberStatus const&)>;
    using close_handler = std::function<void(grpc::Status const&)>;

    /// @param on_status called for every status
    /// @param on_close called once, when the stream has ended
    member_observation(status_handler on_status, close_handler on_close);

private:
    void handle(endpoint::v1::MemberStatus const& status) override;
    void on_closed(grpc::Status const& status) override;

    status_handler m_on_status;
    close_handler m_on_close;
};

/// gRPC client of one member of a database group.
class member_client
{
public:
    template <typename Reply>
    using result_handler =
        std::function<void(grpc::Status const&, Reply const&)>;

    /// @param address address of the member, HOST:PORT
    /// @param credentials credentials of the channel
    member_client(std::string address,
                  std::shared_ptr<grpc::ChannelCredentials> const& credentials);

    /// Opens a database connection. The first message on it reports that it is
    /// open.
    std::shared_ptr<member_connection>
    connect(member_connection::reply_handler on_reply,
            member_connection::close_handler on_close);

    /// Opens a stream on which the member reports its status.
    std::shared_ptr<member_observation>
    observe(member_observation::status_handler on_status,
            member_observation::close_handler on_close);

    /// Requests the member to grant a term.
    /// @param timeout time after which the handler is called with an error
    void fence(endpoint::v1::FenceRequest const& request,
               state::duration timeout,
               result_handler<endpoint::v1::FenceReply> done);

    /// Makes the member primary.
    void promote(endpoint::v1::PromoteRequest const& request,
                 state::duration timeout,
                 result_handler<endpoint::v1::ChangeReply> done);

    /// Makes the member follow a primary.
    void follow(endpoint::v1::FollowRequest const& request,
                state::duration timeout,
                result_handler<endpoint::v1::ChangeReply> done);

    std::string const& address() const { return m_address; }

private:
    std::string m_address;
    std::unique_ptr<endpoint::v1::Member::Stub> m_stub;
};

} // namespace camphortide::transport
