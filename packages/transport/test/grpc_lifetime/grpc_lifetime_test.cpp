#include <future>
#include <memory>

#include <doctest/doctest.h>
#include <grpcpp/grpcpp.h>

#include <camphortide/endpoint/v1/member.grpc.pb.h>
#include <camphortide/transport/grpc_lifetime.hpp>

namespace endpoint = camphortide::endpoint;
namespace transport = camphortide::transport;

namespace
{

/// A call whose callback releases the only channel.
struct last_call
{
    grpc::ClientContext m_context;
    endpoint::v1::FenceRequest m_request;
    endpoint::v1::FenceReply m_reply;
    std::unique_ptr<endpoint::v1::Member::Stub> m_stub =
        endpoint::v1::Member::NewStub(grpc::CreateChannel("", nullptr));
    std::promise<grpc::StatusCode> m_ended;
};

grpc::StatusCode call_and_release_channel()
{
    auto call = std::make_shared<last_call>();
    auto ended = call->m_ended.get_future();
    auto* const call_ptr = call.get();
    call_ptr->m_stub->async()->Fence(
        &call_ptr->m_context, &call_ptr->m_request, &call_ptr->m_reply,
        [call](grpc::Status const& status)
        {
            call->m_stub.reset();
            call->m_ended.set_value(status.error_code());
        });
    call.reset(); // the callback holds the last reference
    return ended.get();
}

} // namespace

TEST_CASE("a callback can release the last channel")
{
    transport::keep_grpc_alive();
    for (int round = 0; round < 1000; ++round)
    {
        CHECK(call_and_release_channel() != grpc::StatusCode::OK);
    }
}
