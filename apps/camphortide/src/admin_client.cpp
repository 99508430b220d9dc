#include "admin_client.hpp"

#include <chrono>

#include <grpcpp/grpcpp.h>

#include <camphortide/admin/v1/admin.grpc.pb.h>
#include <camphortide/transport/platform/client_credentials.hpp>

namespace camphortide::command_line
{

namespace
{

/// Makes one blocking call to the admin service.
template <typename Request, typename Reply>
absl::StatusOr<Reply>
call(admin_server const& server, state::duration timeout,
     Request const& request,
     grpc::Status (admin::v1::Admin::Stub::*method)(grpc::ClientContext*,
                                                    Request const&, Reply*))
{
    auto const stub = admin::v1::Admin::NewStub(grpc::CreateChannel(
        server.m_address, transport::client_credentials(server.m_authority)));
    grpc::ClientContext context;
    context.set_deadline(std::chrono::system_clock::now() + timeout);
    Reply reply;
    auto const status = (stub.get()->*method)(&context, request, &reply);
    if (!status.ok())
    {
        return absl::UnavailableError(server.m_address + ": " +
                                      status.error_message());
    }
    return reply;
}

} // namespace

absl::StatusOr<admin::v1::StatusReply> fetch_status(admin_server const& server,
                                                    state::duration timeout)
{
    return call(server, timeout, admin::v1::StatusRequest{},
                &admin::v1::Admin::Stub::Status);
}

absl::StatusOr<admin::v1::MetricsReply>
fetch_metrics(admin_server const& server, state::duration timeout)
{
    admin::v1::MetricsRequest request;
    request.set_text(true);
    return call(server, timeout, request, &admin::v1::Admin::Stub::Metrics);
}

} // namespace camphortide::command_line
