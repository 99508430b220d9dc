#include <cstddef>
#include <memory>
#include <new>

#include <grpcpp/grpcpp.h>

#include <camphortide/endpoint/v1/member.grpc.pb.h>
#include <camphortide/transport/grpc_lifetime.hpp>

namespace camphortide::transport
{

namespace
{

/// A channel without an address. A call with a callback makes it keep gRPC's
/// callback threads alive.
class grpc_reference
{
public:
    grpc_reference()
        : m_stub(
              endpoint::v1::Member::NewStub(grpc::CreateChannel("", nullptr)))
    {
        m_stub->async()->Fence(&m_context, &m_request, &m_reply,
                               [](grpc::Status const&) {});
    }

private:
    grpc::ClientContext m_context;
    endpoint::v1::FenceRequest m_request;
    endpoint::v1::FenceReply m_reply;
    std::unique_ptr<endpoint::v1::Member::Stub> m_stub;
};

} // namespace

void keep_grpc_alive()
{
    // Never destroyed: static objects are destroyed while gRPC's threads still
    // run.
    alignas(grpc_reference) static std::byte storage[sizeof(grpc_reference)];
    static auto const* const reference = new (storage) grpc_reference;
    static_cast<void>(reference);
}

} // namespace camphortide::transport
