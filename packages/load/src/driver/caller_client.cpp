#include <chrono>
#include <utility>

#include <grpcpp/grpcpp.h>

#include <camphortide/load/driver/caller_client.hpp>
#include <camphortide/load/driver/transaction_call.hpp>
#include <camphortide/transport/access/outcome_conversion.hpp>

namespace camphortide::load
{

namespace
{

/// Time that a caller waits for the answer after the request's deadline.
constexpr std::chrono::milliseconds reply_margin{2000};

template <class Request, class Reply>
struct call
{
    grpc::ClientContext m_context;
    Request m_request;
    Reply m_reply;
};

void prepare(grpc::ClientContext& to, call_context const& context,
             state::duration deadline)
{
    to.AddMetadata("authorization", "Bearer " + context.m_credential);
    to.set_deadline(std::chrono::system_clock::now() + deadline + reply_margin);
}

call_answer failed(grpc::Status const& status)
{
    call_answer result;
    v1::Failure failure;
    if (status.error_details().empty() ||
        !failure.ParseFromString(status.error_details()))
    {
        result.m_reason = state::reason::connection_lost;
        return result;
    }
    result.m_from_instance = true;
    result.m_outcome = transport::from_proto(failure.outcome());
    result.m_reason = static_cast<state::reason>(failure.reason());
    result.m_result = failure.detail();
    result.m_retry_after = state::duration(failure.retry_after_ms());
    return result;
}

call_answer answer_of(grpc::Status const& status, v1::Reply const& reply)
{
    if (!status.ok())
    {
        return failed(status);
    }
    call_answer result;
    result.m_from_instance = true;
    result.m_outcome = transport::from_proto(reply.outcome());
    result.m_result = reply.result();
    result.m_token = reply.session_token();
    result.m_member = reply.member();
    result.m_from_replica = reply.from_replica();
    result.m_replayed = reply.replayed();
    result.m_age = state::duration(reply.age_ms());
    return result;
}

call_answer answer_of(grpc::Status const& status, v1::OutcomeReply const& reply)
{
    if (!status.ok())
    {
        return failed(status);
    }
    call_answer result;
    result.m_from_instance = true;
    result.m_outcome = transport::from_proto(reply.outcome());
    result.m_reason = static_cast<state::reason>(reply.reason());
    result.m_result = reply.result();
    result.m_token = reply.session_token();
    return result;
}

/// @return the request with all fields except its statement
v1::Request without_statement(call_context const& context,
                              request_record const& attempt)
{
    v1::Request result;
    result.set_entry(attempt.m_request.m_entry);
    result.set_request_key(attempt.m_key);
    result.set_idempotent(attempt.m_request.m_idempotent);
    result.set_session_token(context.m_token);
    return result;
}

} // namespace

void caller_client::send(call_context const& context,
                         request_record const& attempt, answer_handler done)
{
    if (attempt.m_request.m_kind == transport::traffic_kind::transaction)
    {
        transact(context, attempt, std::move(done));
        return;
    }
    auto const one = std::make_shared<call<v1::Request, v1::Reply>>();
    prepare(one->m_context, context, attempt.m_request.m_deadline);
    one->m_request = without_statement(context, attempt);
    one->m_request.set_statement(attempt.m_request.m_statements.front());
    auto ended = [one, done = std::move(done)](grpc::Status const& status)
    {
        done(answer_of(status, one->m_reply));
    };
    auto* const calls = stub(context.m_address).async();
    if (attempt.m_request.m_kind == transport::traffic_kind::read)
    {
        calls->Read(&one->m_context, &one->m_request, &one->m_reply,
                    std::move(ended));
        return;
    }
    calls->Write(&one->m_context, &one->m_request, &one->m_reply,
                 std::move(ended));
}

void caller_client::query_outcome(call_context const& context,
                                  request_record const& attempt,
                                  answer_handler done)
{
    auto const one =
        std::make_shared<call<v1::OutcomeRequest, v1::OutcomeReply>>();
    prepare(one->m_context, context, attempt.m_request.m_deadline);
    one->m_request.set_entry(attempt.m_request.m_entry);
    one->m_request.set_request_key(attempt.m_key);
    one->m_request.set_session_token(context.m_token);
    stub(context.m_address)
        .async()
        ->GetOutcome(&one->m_context, &one->m_request, &one->m_reply,
                     [one, done = std::move(done)](grpc::Status const& status)
                     { done(answer_of(status, one->m_reply)); });
}

void caller_client::transact(call_context const& context,
                             request_record const& attempt, answer_handler done)
{
    auto const one =
        std::make_shared<transaction_call>(without_statement(context, attempt),
                                           attempt.m_request, std::move(done));
    auto* const calls = stub(context.m_address).async();
    one->start(
        [&](grpc::ClientContext* to, auto* reactor)
        {
            prepare(*to, context, attempt.m_request.m_deadline);
            calls->Transact(to, reactor);
        });
    one->begin();
}

v1::Access::Stub& caller_client::stub(std::string const& address)
{
    auto& known_stub = m_stubs[address];
    if (!known_stub)
    {
        known_stub = v1::Access::NewStub(
            grpc::CreateChannel(address, grpc::InsecureChannelCredentials()));
    }
    return *known_stub;
}

} // namespace camphortide::load
