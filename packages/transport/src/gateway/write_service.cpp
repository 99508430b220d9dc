#include <functional>
#include <utility>

#include <camphortide/protocol/member_conversion.hpp>
#include <camphortide/transport/gateway/write_service.hpp>

namespace camphortide::transport
{

namespace
{

constexpr std::size_t max_keys = 16384;
constexpr state::duration default_retry_after{50};

} // namespace

coordination::keyed_answer
to_keyed_answer(endpoint::v1::StatementReply const& reply)
{
    return {static_cast<coordination::statement_code>(reply.code()),
            protocol::from_proto(reply.position()), reply.replayed()};
}

write_service::write_service(group_core& core) : m_core(core), m_keys(max_keys)
{
}

void write_service::start(group_operation& operation)
{
    coordination::deadline const end(operation.m_request.m_deadline);
    if (operation.m_request.m_kind == request_kind::resolve)
    {
        operation.m_resolving = true;
        m_tracker.add_outcome_query(operation.m_id, operation.m_request.m_key,
                                    end);
    }
    else if (conflicts(operation))
    {
        m_core.complete(operation, failed_reply(state::outcome::not_executed,
                                                state::reason::key_conflict));
        return;
    }
    else
    {
        m_tracker.add_write(operation.m_id, operation.m_request.m_key, end);
    }
    if (!send(operation))
    {
        wait(operation);
    }
}

bool write_service::conflicts(group_operation const& operation)
{
    auto const fingerprint =
        std::hash<std::string>()(operation.m_request.m_statement);
    return !m_keys.note(operation.m_request.m_key, fingerprint);
}

bool write_service::send(group_operation& operation)
{
    auto* const link = m_core.admits_writes() ? m_core.primary() : nullptr;
    if (link == nullptr)
    {
        return false;
    }
    auto const connection = link->acquire(m_core.m_now);
    if (!connection)
    {
        return false;
    }
    auto const term = m_core.m_primary->m_term;
    endpoint::v1::Statement message;
    message.set_kind(operation.m_resolving
                         ? endpoint::v1::STATEMENT_KIND_RESOLVE
                         : endpoint::v1::STATEMENT_KIND_WRITE);
    message.set_term(term.value());
    message.set_key(operation.m_request.m_key);
    if (!operation.m_resolving)
    {
        message.set_text(operation.m_request.m_statement);
        operation.m_may_have_run = true;
    }
    m_tracker.note_sent(operation.m_id, term);
    ++m_core.m_writes_sent;
    operation.m_is_waiting = false;
    operation.m_outstanding = true;
    operation.m_member = *m_core.primary_index();
    operation.m_connection = *connection;
    link->send(*connection, std::move(message),
               {awaited_answer::service::write, operation.m_id});
    return true;
}

void write_service::answered(group_operation& operation,
                             endpoint::v1::StatementReply const& reply)
{
    operation.m_outstanding = false;
    operation.m_reply.m_result = reply.result();
    operation.m_reply.m_member = reply.status().member();
    apply(operation.m_id,
          m_tracker.answered(operation.m_id, to_keyed_answer(reply)));
}

void write_service::connection_lost(group_operation& operation)
{
    operation.m_outstanding = false;
    apply(operation.m_id, m_tracker.connection_lost(operation.m_id));
}

void write_service::apply(std::uint64_t id,
                          coordination::keyed_step const& step)
{
    auto* const operation = m_core.find(id);
    if (operation == nullptr)
    {
        return;
    }
    switch (step.m_action)
    {
    case coordination::keyed_step::action::none:
        return;
    case coordination::keyed_step::action::resolve:
        operation->m_resolving = true;
        wait(*operation);
        return;
    case coordination::keyed_step::action::send:
        operation->m_may_have_run = false;
        wait(*operation);
        return;
    case coordination::keyed_step::action::finish:
        finish(*operation, step.m_result);
        return;
    }
}

void write_service::wait(group_operation& operation)
{
    if (std::exchange(operation.m_outstanding, false))
    {
        m_core.m_members[operation.m_member]->abandon(operation.m_connection);
        m_core.release_slot(operation.m_id, std::nullopt);
        --m_core.m_writes_sent;
    }
    if (!std::exchange(operation.m_is_waiting, true))
    {
        m_waiting.push_back(operation.m_id);
    }
}

void write_service::finish(group_operation& operation,
                           coordination::request_result const& result)
{
    auto reply = std::move(operation.m_reply);
    reply.m_outcome = result.m_outcome;
    reply.m_reason = result.m_reason;
    reply.m_position = result.m_position;
    reply.m_replayed = result.m_replayed;
    if (result.m_outcome != state::outcome::executed)
    {
        reply.m_retry_after = default_retry_after;
    }
    m_core.complete(operation, std::move(reply));
}

void write_service::advance()
{
    if (m_last_log_view != m_core.m_log.view())
    {
        m_last_log_view = m_core.m_log.view();
        for (auto const& step : m_tracker.log_changed(m_last_log_view))
        {
            apply(step.m_request, step.m_step);
        }
    }
    while (!m_waiting.empty())
    {
        auto* const operation = m_core.find(m_waiting.front());
        if (operation != nullptr && !send(*operation))
        {
            return;
        }
        m_waiting.pop_front();
    }
}

void write_service::expire()
{
    for (auto const& step : m_tracker.expire(m_core.m_now))
    {
        apply(step.m_request, step.m_step);
    }
}

} // namespace camphortide::transport
