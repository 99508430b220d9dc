#include <utility>

#include <camphortide/transport/access/outcome_conversion.hpp>
#include <camphortide/transport/access/transaction_stream.hpp>

namespace camphortide::transport
{

transaction_stream::transaction_stream(std::string name, request_router& router,
                                       service_callbacks callbacks)
    : m_name(std::move(name)),
      m_router(router),
      m_callbacks(std::move(callbacks))
{
}

transaction_stream::~transaction_stream()
{
    m_callbacks.m_on_close();
}

void transaction_stream::handle(v1::TransactionStep const& step)
{
    switch (step.step_case())
    {
    case v1::TransactionStep::kBegin:
        begin(step.begin());
        return;
    case v1::TransactionStep::kExecute:
        run(request_kind::execute, step.execute());
        return;
    case v1::TransactionStep::kCommit:
        run(request_kind::commit, {});
        return;
    case v1::TransactionStep::kRollBack:
        run(request_kind::roll_back, {});
        return;
    case v1::TransactionStep::STEP_NOT_SET:
        refuse(state::reason::bad_request);
        return;
    }
}

void transaction_stream::begin(v1::Request const& request)
{
    {
        std::scoped_lock const lock(m_mutex);
        if (m_phase != phase::idle)
        {
            refuse(state::reason::bad_request);
            return;
        }
    }
    auto checked = m_callbacks.m_check(request);
    if (auto const* const failure = std::get_if<v1::Failure>(&checked))
    {
        refuse(static_cast<state::reason>(failure->reason()));
        return;
    }
    m_begin = std::get<checked_request>(std::move(checked));
    {
        std::scoped_lock const lock(m_mutex);
        m_phase = phase::open;
    }
    run(request_kind::begin, {});
}

void transaction_stream::run(request_kind kind, std::string statement)
{
    group_request request;
    {
        std::scoped_lock const lock(m_mutex);
        if (m_phase != phase::open)
        {
            refuse(state::reason::bad_request);
            return;
        }
        m_phase = phase::running;
        request = m_begin.m_request;
        request.m_home = m_home;
    }
    request.m_kind = kind;
    request.m_statement = std::move(statement);
    request.m_transaction = m_name;
    auto self =
        std::static_pointer_cast<transaction_stream>(shared_from_this());
    m_router.submit(std::move(request),
                    [self = std::move(self), kind](group_reply const& reply)
                    { self->answered(kind, reply); });
}

bool transaction_stream::ends_transaction(request_kind kind,
                                          group_reply const& reply)
{
    if (kind == request_kind::commit || kind == request_kind::roll_back)
    {
        return true;
    }
    return reply.m_outcome != state::outcome::executed &&
           reply.m_reason != state::reason::statement_failed;
}

void transaction_stream::answered(request_kind kind, group_reply const& reply)
{
    bool const is_final = ends_transaction(kind, reply);
    bool caller_left = false;
    {
        std::scoped_lock const lock(m_mutex);
        m_phase = is_final ? phase::ended : phase::open;
        if (kind == request_kind::begin)
        {
            m_home = reply.m_home;
        }
        caller_left = m_caller_left;
    }
    v1::TransactionReply message;
    message.set_outcome(to_proto(reply.m_outcome));
    message.set_reason(static_cast<v1::Reason>(reply.m_reason));
    message.set_result(reply.m_result);
    if (kind == request_kind::commit &&
        reply.m_outcome == state::outcome::executed)
    {
        message.set_session_token(m_callbacks.m_token(m_begin, reply));
    }
    send(std::move(message));
    if (is_final)
    {
        m_callbacks.m_on_end(m_begin, reply);
        finish(grpc::Status::OK);
    }
    else if (caller_left)
    {
        abandon();
    }
}

void transaction_stream::refuse(state::reason reason)
{
    v1::TransactionReply message;
    message.set_outcome(v1::OUTCOME_NOT_EXECUTED);
    message.set_reason(static_cast<v1::Reason>(reason));
    send(std::move(message));
}

void transaction_stream::on_end()
{
    {
        std::scoped_lock const lock(m_mutex);
        m_caller_left = true;
        if (m_phase != phase::open)
        {
            return;
        }
    }
    abandon();
}

void transaction_stream::abandon()
{
    group_request request;
    {
        std::scoped_lock const lock(m_mutex);
        if (std::exchange(m_phase, phase::ended) == phase::ended)
        {
            return;
        }
        request = m_begin.m_request;
        request.m_home = m_home;
    }
    request.m_kind = request_kind::leave;
    request.m_transaction = m_name;
    m_router.submit(std::move(request), [](group_reply const&) {});
    group_reply cancelled =
        failed_reply(state::outcome::not_executed, state::reason::cancelled);
    m_callbacks.m_on_end(m_begin, cancelled);
}

} // namespace camphortide::transport
