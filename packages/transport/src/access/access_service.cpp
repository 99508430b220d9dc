#include <chrono>
#include <utility>

#include <camphortide/transport/access/access_service.hpp>
#include <camphortide/transport/access/outcome_conversion.hpp>
#include <camphortide/transport/access/transaction_stream.hpp>
#include <camphortide/transport/grpc_failure.hpp>

namespace camphortide::transport
{

namespace
{

v1::Failure failure_of(checked_request const& checked, group_reply const& reply)
{
    v1::Failure failure;
    failure.set_outcome(to_proto(reply.m_outcome));
    failure.set_reason(static_cast<v1::Reason>(reply.m_reason));
    failure.set_retry_after_ms(
        static_cast<std::uint32_t>(reply.m_retry_after.count()));
    failure.set_request_key(checked.m_caller_key);
    failure.set_detail(reply.m_result);
    return failure;
}

void finish(grpc::ServerUnaryReactor* reactor, v1::Failure const& failure)
{
    reactor->Finish(to_status(failure));
}

/// Ends an outcome query that was refused. The status is that of the refusal,
/// but the outcome is unknown, as the key's outcome was not queried.
void refuse_outcome_query(grpc::ServerUnaryReactor* reactor,
                          v1::Failure failure)
{
    auto const status = to_status(failure);
    failure.set_outcome(v1::OUTCOME_UNKNOWN);
    reactor->Finish({status.error_code(), status.error_message(),
                     failure.SerializeAsString()});
}

} // namespace

access_service::access_service(request_check& check, request_router& router,
                               protocol::token_codec const& codec,
                               catalogue_source catalogue,
                               request_observer on_end, std::string prefix)
    : m_check(check),
      m_router(router),
      m_codec(codec),
      m_catalogue(std::move(catalogue)),
      m_on_end(std::move(on_end)),
      m_transaction_prefix(std::move(prefix))
{
}

grpc::ServerUnaryReactor*
access_service::Read(grpc::CallbackServerContext* context,
                     v1::Request const* request, v1::Reply* reply)
{
    return serve(context, *request, reply, request_kind::read);
}

grpc::ServerUnaryReactor*
access_service::Write(grpc::CallbackServerContext* context,
                      v1::Request const* request, v1::Reply* reply)
{
    return serve(context, *request, reply, request_kind::write);
}

grpc::ServerUnaryReactor*
access_service::serve(grpc::CallbackServerContext* context,
                      v1::Request const& request, v1::Reply* reply,
                      request_kind kind)
{
    auto* const reactor = context->DefaultReactor();
    if (m_draining)
    {
        finish(reactor, not_executed(state::reason::draining));
        return reactor;
    }
    auto checked = m_check.check(*context, m_catalogue(), request, kind,
                                 state::clock::now());
    if (auto const* const failure = std::get_if<v1::Failure>(&checked))
    {
        finish(reactor, *failure);
        return reactor;
    }
    run(std::get<checked_request>(std::move(checked)),
        [this, reactor, reply](checked_request const& submitted,
                               group_reply const& answer)
        {
            if (answer.m_outcome != state::outcome::executed)
            {
                finish(reactor, failure_of(submitted, answer));
                return;
            }
            reply->set_outcome(v1::OUTCOME_EXECUTED);
            reply->set_result(answer.m_result);
            reply->set_session_token(token_after(submitted, answer));
            reply->set_member(answer.m_member);
            reply->set_from_replica(answer.m_from_replica);
            reply->set_age_ms(static_cast<std::uint32_t>(
                answer.m_age.value_or(state::duration{}).count()));
            reply->set_replayed(answer.m_replayed);
            reactor->Finish(grpc::Status::OK);
        });
    return reactor;
}

grpc::ServerUnaryReactor*
access_service::GetOutcome(grpc::CallbackServerContext* context,
                           v1::OutcomeRequest const* request,
                           v1::OutcomeReply* reply)
{
    auto* const reactor = context->DefaultReactor();
    auto checked =
        m_check.check(*context, m_catalogue(), *request, state::clock::now());
    if (auto const* const failure = std::get_if<v1::Failure>(&checked))
    {
        refuse_outcome_query(reactor, *failure);
        return reactor;
    }
    run(std::get<checked_request>(std::move(checked)),
        [this, reactor, reply](checked_request const& submitted,
                               group_reply const& answer)
        {
            bool const definite =
                answer.m_outcome == state::outcome::executed ||
                answer.m_reason == state::reason::key_barred;
            if (!definite)
            {
                auto failure = failure_of(submitted, answer);
                failure.set_outcome(v1::OUTCOME_UNKNOWN);
                finish(reactor, failure);
                return;
            }
            reply->set_outcome(to_proto(answer.m_outcome));
            reply->set_reason(static_cast<v1::Reason>(answer.m_reason));
            reply->set_result(answer.m_result);
            reply->set_session_token(token_after(submitted, answer));
            reactor->Finish(grpc::Status::OK);
        });
    return reactor;
}

grpc::ServerBidiReactor<v1::TransactionStep, v1::TransactionReply>*
access_service::Transact(grpc::CallbackServerContext* context)
{
    transaction_stream::service_callbacks callbacks;
    callbacks.m_check = [this, context](v1::Request const& request)
        -> std::variant<checked_request, v1::Failure>
    {
        if (m_draining)
        {
            return not_executed(state::reason::draining);
        }
        return m_check.check(*context, m_catalogue(), request,
                             request_kind::write, state::clock::now());
    };
    callbacks.m_token = [this](auto const& submitted, auto const& reply)
    {
        return token_after(submitted, reply);
    };
    callbacks.m_on_end = [this, start = std::chrono::steady_clock::now()](
                             auto const& submitted, auto const& reply)
    {
        if (m_on_end)
        {
            m_on_end(submitted, reply,
                     std::chrono::duration_cast<std::chrono::microseconds>(
                         std::chrono::steady_clock::now() - start));
        }
    };
    callbacks.m_on_close = [this]
    {
        --m_in_flight;
    };
    ++m_in_flight;
    auto const stream = std::make_shared<transaction_stream>(
        m_transaction_prefix + std::to_string(++m_last_transaction), m_router,
        std::move(callbacks));
    stream->start();
    return stream.get();
}

void access_service::run(
    checked_request checked,
    std::function<void(checked_request const&, group_reply const&)> done)
{
    ++m_in_flight;
    auto const start = std::chrono::steady_clock::now();
    auto const submitted =
        std::make_shared<checked_request>(std::move(checked));
    m_router.submit(
        submitted->m_request,
        [this, submitted, start,
         done = std::move(done)](group_reply const& reply)
        {
            auto const latency =
                std::chrono::duration_cast<std::chrono::microseconds>(
                    std::chrono::steady_clock::now() - start);
            if (m_on_end)
            {
                m_on_end(*submitted, reply, latency);
            }
            done(*submitted, reply);
            --m_in_flight;
        });
}

std::string access_service::token_after(checked_request const& checked,
                                        group_reply const& reply) const
{
    return m_codec.encode(
        checked.m_token.advanced(checked.m_request.m_group, reply.m_position));
}

} // namespace camphortide::transport
