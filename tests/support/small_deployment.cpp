#include "small_deployment.hpp"

#include <camphortide/standin/deployment/small_deployment_builder.hpp>

namespace camphortide::tests
{

transport::deployment small_deployment(std::size_t instances,
                                       std::optional<std::uint32_t> homes)
{
    state::entry_limits limits;
    limits.m_rate = 100000;
    limits.m_deadline = std::chrono::seconds(17);
    return standin::small_deployment_builder()
        .instances(instances)
        .homes(homes)
        .limits(limits)
        .build();
}

session::session(std::string const& address,
                 std::shared_ptr<grpc::ChannelCredentials> credentials)
    : m_credentials(std::move(credentials))
{
    move_to(address);
}

void session::move_to(std::string const& address)
{
    m_stub = v1::Access::NewStub(grpc::CreateChannel(address, m_credentials));
}

grpc::Status session::write(std::string const& statement,
                            std::string const& key)
{
    auto request = make_request(statement);
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
    auto status = m_stub->Read(&context, make_request(statement), &m_reply);
    if (status.ok())
    {
        m_token = m_reply.session_token();
    }
    return status;
}

grpc::Status session::get_outcome(std::string const& key,
                                  v1::OutcomeReply& reply)
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

v1::Request session::make_request(std::string const& statement) const
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
