#include <memory>

#include <doctest/doctest.h>
#include <grpcpp/grpcpp.h>

#include <camphortide/standin/deployment/running_deployment.hpp>
#include <camphortide/transport/settings/deployment_file.hpp>
#include <camphortide/v1/access.grpc.pb.h>

namespace standin = camphortide::standin;
namespace transport = camphortide::transport;
namespace v1 = camphortide::v1;

TEST_CASE("a refused outcome request does not report the key as not executed")
{
    auto const file =
        transport::read_deployment_file("examples/caxias-serrana.jsonc");
    REQUIRE(file.ok());
    standin::running_deployment running(file.m_value, std::string(64, 'a'));
    REQUIRE(running.wait_ready(std::chrono::seconds(20)));
    auto const stub = v1::Access::NewStub(grpc::CreateChannel(
        running.caller_address("entry-1"), grpc::InsecureChannelCredentials()));
    grpc::ClientContext context;
    context.AddMetadata("authorization", "Bearer demo-desks");
    v1::OutcomeRequest request;
    request.set_entry("nothing");
    request.set_request_key("desk-7-1");
    v1::OutcomeReply reply;
    auto const status = stub->GetOutcome(&context, request, &reply);
    CHECK(status.error_code() == grpc::StatusCode::NOT_FOUND);
    v1::Failure failure;
    REQUIRE(failure.ParseFromString(status.error_details()));
    CHECK(failure.outcome() == v1::OUTCOME_UNKNOWN);
    CHECK(failure.reason() == v1::REASON_UNKNOWN_ENTRY);
}
