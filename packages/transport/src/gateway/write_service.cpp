#include <functional>
#include <utility>

#include <camphortide/protocol/member_conversion.hpp>
#include <camphortide/transport/gateway/write_service.hpp>

namespace camphortide::transport
{

namespace
{

constexpr std::size_t most_keys = 16384;
constexpr state::duration retry_hint{50};

} // namespace

coordination::keyed_answer
to_keyed_answer(endpoint::v1::StatementReply const& reply)
{
    return {static_cast<coordination::statement_code>(reply.code()),
            protocol::from_proto(reply.position()), reply.replayed()};
}

write_service::write_service(group_core& core) : m_core(core), m_keys(most_keys)
{
}

void write_service::start(group_operation& work)
{
    coordination::deadline const end(work.m_request.m_deadline);
    if (work.m_request.m_kind == request_kind::resolve)
    {
        work.m_resolving = true;
        m_tracker.add_outcome_query(work.m_id, work.m_request.m_key, end);
    }
    else if (conflicts(work))
    {
        m_core.complete(work, failed_reply(state::outcome::not_executed,
                                           state::reason::key_conflict));
        return;
    }
    else
    {
        m_tracker.add_write(work.m_id, work.m_request.m_key, end);
    }
    if (!send(work))
    {
        wait(work);
    }
}

bool write_service::conflicts(group_operation const& work)
{
    auto const fingerprint =
        std::hash<std::string>()(work.m_request.m_statement);
    return !m_keys.note(work.m_request.m_key, fingerprint);
}

bool write_service::send(group_operation& work)
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
    message.set_kind(work.m_resolving ? endpoint::v1::STATEMENT_KIND_RESOLVE
                                      : endpoint::v1::STATEMENT_KIND_WRITE);
    message.set_term(term.value());
    message.set_key(work.m_request.m_key);
    if (!work.m_resolving)
    {
        message.set_text(work.m_request.m_statement);
        work.m_may_have_run = true;
    }
    m_tracker.note_sent(work.m_id, term);
    ++m_core.m_writes_sent;
    work.m_waits = false;
    work.m_outstanding = true;
    work.m_member = *m_core.primary_index();
    work.m_connection = *connection;
    link->send(*connection, std::move(message),
               {awaited_answer::service::write, work.m_id});
    return true;
}

void write_service::answered(group_operation& work,
                             endpoint::v1::StatementReply const& reply)
{
    work.m_outstanding = false;
    work.m_reply.m_result = reply.result();
    work.m_reply.m_member = reply.status().member();
    apply(work.m_id, m_tracker.answered(work.m_id, to_keyed_answer(reply)));
}

void write_service::connection_lost(group_operation& work)
{
    work.m_outstanding = false;
    apply(work.m_id, m_tracker.connection_lost(work.m_id));
}

void write_service::apply(std::uint64_t id,
                          coordination::keyed_step const& step)
{
    auto* const work = m_core.find(id);
    if (work == nullptr)
    {
        return;
    }
    switch (step.m_action)
    {
    case coordination::keyed_step::action::none:
        return;
    case coordination::keyed_step::action::resolve:
        work->m_resolving = true;
        wait(*work);
        return;
    case coordination::keyed_step::action::send:
        work->m_may_have_run = false;
        wait(*work);
        return;
    case coordination::keyed_step::action::finish:
        finish(*work, step.m_result);
        return;
    }
}

void write_service::wait(group_operation& work)
{
    if (std::exchange(work.m_outstanding, false))
    {
        m_core.m_members[work.m_member]->abandon(work.m_connection);
        m_core.leave_slot(work.m_id, std::nullopt);
        --m_core.m_writes_sent;
    }
    if (!std::exchange(work.m_waits, true))
    {
        m_waiting.push_back(work.m_id);
    }
}

void write_service::finish(group_operation& work,
                           coordination::request_result const& result)
{
    auto reply = std::move(work.m_reply);
    reply.m_outcome = result.m_outcome;
    reply.m_reason = result.m_reason;
    reply.m_position = result.m_position;
    reply.m_replayed = result.m_replayed;
    if (result.m_outcome != state::outcome::executed)
    {
        reply.m_retry_after = retry_hint;
    }
    m_core.complete(work, std::move(reply));
}

void write_service::advance()
{
    if (m_seen != m_core.m_log.view())
    {
        m_seen = m_core.m_log.view();
        for (auto const& step : m_tracker.log_changed(m_seen))
        {
            apply(step.m_request, step.m_step);
        }
    }
    while (!m_waiting.empty())
    {
        auto* const work = m_core.find(m_waiting.front());
        if (work != nullptr && !send(*work))
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
