#include <memory>
#include <string>

#include <doctest/doctest.h>
#include <grpcpp/grpcpp.h>

#include <camphortide/standin/deployment/running_deployment.hpp>
#include <camphortide/v1/access.grpc.pb.h>

namespace standin = camphortide::standin;
namespace transport = camphortide::transport;
namespace v1 = camphortide::v1;

namespace
{

std::string const token_key(64, 'a');

transport::deployment two_instances(std::optional<std::uint32_t> homes)
{
    transport::deployment result;
    result.m_name = "test";
    result.m_region = "serra-gaucha";
    result.m_data_centres = {"sede-centro", "ginasio-norte"};
    result.m_latency_between = std::chrono::microseconds(0);
    result.m_homes_per_group = homes;
    result.m_instances = {{"entry-1", "sede-centro"},
                          {"entry-2", "ginasio-norte"}};
    transport::deployment_group group;
    group.m_name = "loans";
    group.m_members = {
        {"a", "sede-centro"}, {"b", "ginasio-norte"}, {"c", "sede-centro"}};
    group.m_statement_time = std::chrono::microseconds(0);
    group.m_apply_lag = std::chrono::microseconds(0);
    result.m_groups = {group};
    result.m_owners = {{"desks", "secret"}, {"parents", "other"}};
    transport::deployment_entry entry;
    entry.m_name = "checkouts";
    entry.m_owner = "desks";
    entry.m_class_name = "checkouts";
    entry.m_groups = {"loans"};
    entry.m_limits.m_deadline = std::chrono::milliseconds(10000);
    result.m_entries = {entry};
    return result;
}

class caller
{
public:
    explicit caller(std::string const& address)
        : m_stub(v1::Access::NewStub(
              grpc::CreateChannel(address, grpc::InsecureChannelCredentials())))
    {
    }

    grpc::Status write(v1::Request const& request, v1::Reply& reply)
    {
        grpc::ClientContext context;
        context.AddMetadata("authorization", "Bearer secret");
        return m_stub->Write(&context, request, &reply);
    }

    grpc::Status read(v1::Request const& request, v1::Reply& reply,
                      std::string const& secret = "secret")
    {
        grpc::ClientContext context;
        context.AddMetadata("authorization", "Bearer " + secret);
        return m_stub->Read(&context, request, &reply);
    }

private:
    std::unique_ptr<v1::Access::Stub> m_stub;
};

v1::Request make_request(std::string const& statement)
{
    v1::Request request;
    request.set_entry("checkouts");
    request.set_statement(statement);
    return request;
}

void check_session_moves(std::optional<std::uint32_t> homes)
{
    standin::running_deployment running(two_instances(homes), token_key);
    REQUIRE(running.wait_ready(std::chrono::seconds(20)));
    caller first(running.caller_address("entry-1"));
    caller second(running.caller_address("entry-2"));

    v1::Reply written;
    auto write = make_request("set puzzle out");
    write.set_request_key("desk-7-1");
    REQUIRE(first.write(write, written).ok());
    CHECK(written.outcome() == v1::OUTCOME_EXECUTED);
    CHECK_FALSE(written.session_token().empty());

    v1::Reply answer;
    auto read = make_request("get puzzle");
    read.set_session_token(written.session_token());
    REQUIRE(second.read(read, answer).ok());
    CHECK(answer.result() == "out");
    CHECK(answer.from_replica());
}

} // namespace

TEST_CASE("a session that wrote at one instance reads it at another")
{
    check_session_moves(std::nullopt);
}

TEST_CASE("an instance that is no home forwards")
{
    check_session_moves(1);
}

TEST_CASE("callers without the right credential are refused by type")
{
    standin::running_deployment running(two_instances(std::nullopt), token_key);
    REQUIRE(running.wait_ready(std::chrono::seconds(20)));
    caller someone(running.caller_address("entry-1"));
    v1::Reply reply;
    auto const read = make_request("get puzzle");
    CHECK(someone.read(read, reply, "wrong").error_code() ==
          grpc::StatusCode::UNAUTHENTICATED);
    auto unknown = read;
    unknown.set_entry("nothing");
    CHECK(someone.read(unknown, reply).error_code() ==
          grpc::StatusCode::NOT_FOUND);
    auto forged = read;
    forged.set_session_token("forged");
    CHECK(someone.read(forged, reply).error_code() ==
          grpc::StatusCode::INVALID_ARGUMENT);
    CHECK(someone.read(read, reply).ok());
}
