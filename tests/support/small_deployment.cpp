#include "small_deployment.hpp"

namespace camphortide::tests
{

transport::deployment small_deployment(std::size_t instances,
                                       std::optional<std::uint32_t> homes)
{
    transport::deployment result;
    result.m_name = "test";
    result.m_region = "serra-gaucha";
    result.m_data_centres = {"sede-centro", "ginasio-norte", "escola-leste"};
    result.m_latency_between = std::chrono::microseconds(0);
    result.m_homes_per_group = homes;
    for (std::size_t i = 0; i < instances; ++i)
    {
        result.m_instances.push_back(
            {"entry-" + std::to_string(i + 1), result.m_data_centres[i % 3]});
    }
    transport::deployment_group group;
    group.m_name = "loans";
    group.m_members = {
        {"a", "sede-centro"}, {"b", "ginasio-norte"}, {"c", "escola-leste"}};
    group.m_statement_time = std::chrono::microseconds(0);
    group.m_apply_lag = std::chrono::microseconds(0);
    result.m_groups = {group};
    result.m_owners = {{"desks", "secret"}, {"parents", "other"}};
    transport::deployment_entry entry;
    entry.m_name = "checkouts";
    entry.m_owner = "desks";
    entry.m_class_name = "checkouts";
    entry.m_groups = {"loans"};
    entry.m_limits.m_rate = 100000;
    entry.m_limits.m_deadline = std::chrono::seconds(17);
    result.m_entries = {entry};
    return result;
}

session::session(std::string const& address)
{
    move_to(address);
}

void session::move_to(std::string const& address)
{
    m_stub = v1::Access::NewStub(
        grpc::CreateChannel(address, grpc::InsecureChannelCredentials()));
}

grpc::Status session::write(std::string const& statement,
                            std::string const& key)
{
    auto request = make(statement);
    request.set_request_key(key);
    grpc::ClientContext context;
    authorize(context);
    m_reply.Clear();
    auto status = m_stub->Write(&context, request, &m_reply);
    if (status.ok())
    {
        m_token = m_reply.session_token();
    }
    return status;
}

grpc::Status session::read(std::string const& statement)
{
    grpc::ClientContext context;
    authorize(context);
    m_reply.Clear();
    auto status = m_stub->Read(&context, make(statement), &m_reply);
    if (status.ok())
    {
        m_token = m_reply.session_token();
    }
    return status;
}

grpc::Status session::ask(std::string const& key, v1::OutcomeReply& reply)
{
    v1::OutcomeRequest request;
    request.set_entry("checkouts");
    request.set_request_key(key);
    request.set_session_token(m_token);
    grpc::ClientContext context;
    authorize(context);
    return m_stub->GetOutcome(&context, request, &reply);
}

void session::authorize(grpc::ClientContext& context)
{
    context.AddMetadata("authorization", "Bearer secret");
}

v1::Request session::make(std::string const& statement) const
{
    v1::Request request;
    request.set_entry("checkouts");
    request.set_statement(statement);
    request.set_session_token(m_token);
    return request;
}

v1::Failure failure_of(grpc::Status const& status)
{
    v1::Failure failure;
    failure.ParseFromString(status.error_details());
    return failure;
}

} // namespace camphortide::tests
