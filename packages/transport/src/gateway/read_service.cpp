#include <utility>

#include <camphortide/coordination/request/accept_read.hpp>
#include <camphortide/protocol/member_conversion.hpp>
#include <camphortide/transport/gateway/read_service.hpp>

namespace camphortide::transport
{

namespace
{

constexpr state::duration default_retry_after{50};

} // namespace

read_service::read_service(
    group_core& core, std::unique_ptr<coordination::read_strategy> strategy)
    : m_core(core),
      m_router(std::move(strategy)),
      m_retries(coordination::retry_limits{})
{
}

void read_service::start(group_operation& operation)
{
    m_retries.note_request();
    operation.m_attempts =
        coordination::read_attempts(operation.m_requirement.m_deadline);
    route(operation);
}

void read_service::route(group_operation& operation)
{
    auto const views = m_core.views();
    coordination::read_input const input{operation.m_requirement,
                                         views,
                                         m_core.m_freshness,
                                         operation.m_attempts.attempted(),
                                         operation.m_attempts.primary_next(),
                                         m_core.random(),
                                         m_core.m_now};
    auto const choice = m_router.route(input);
    switch (choice.m_action)
    {
    case coordination::read_choice::action::send:
        send(operation, choice.m_member);
        return;
    case coordination::read_choice::action::wait:
        wait(operation, choice.m_until);
        return;
    case coordination::read_choice::action::refuse:
        give_up(operation, choice.m_reason);
        return;
    }
}

void read_service::send(group_operation& operation, std::size_t member)
{
    auto& link = *m_core.m_members[member];
    auto const connection = link.acquire(m_core.m_now);
    if (!connection)
    {
        wait(operation, m_core.m_now);
        return;
    }
    link.note_sent_read(m_core.m_now);
    operation.m_outstanding = true;
    operation.m_member = member;
    operation.m_connection = *connection;
    operation.m_attempt_deadline =
        operation.m_attempts.attempt_deadline(link.latency(), m_core.m_now);
    m_attempt_deadlines.emplace(operation.m_attempt_deadline, operation.m_id);
    endpoint::v1::Statement message;
    message.set_kind(endpoint::v1::STATEMENT_KIND_READ);
    message.set_text(operation.m_request.m_statement);
    link.send(*connection, std::move(message),
              {awaited_answer::service::read, operation.m_id});
}

void read_service::wait(group_operation& operation, state::time_point until)
{
    operation.m_is_waiting = true;
    operation.m_timed_wait = until > m_core.m_now;
    m_waiting.push_back(operation.m_id);
}

void read_service::answered(group_operation& operation, std::size_t member,
                            endpoint::v1::StatementReply const& reply)
{
    operation.m_outstanding = false;
    bool const executed = reply.code() == endpoint::v1::STATEMENT_CODE_OK;
    auto& answer = operation.m_reply;
    answer.m_outcome =
        executed ? state::outcome::executed : state::outcome::not_executed;
    answer.m_reason =
        executed ? state::reason::none : state::reason::statement_failed;
    answer.m_result = reply.result();
    answer.m_position = protocol::from_proto(reply.position());
    answer.m_member = m_core.m_members[member]->description().m_name;
    answer.m_from_replica = reply.status().role() != endpoint::v1::ROLE_PRIMARY;
    check(operation);
}

void read_service::check(group_operation& operation)
{
    auto const result = coordination::accept_read(
        operation.m_reply.m_position, operation.m_requirement,
        m_core.m_log.view(), m_core.m_freshness, m_core.m_now);
    switch (result.m_decision)
    {
    case coordination::read_decision::release:
        operation.m_reply.m_age = result.m_age;
        m_core.complete(operation, operation.m_reply);
        return;
    case coordination::read_decision::hold:
        m_held.push_back(operation.m_id);
        return;
    case coordination::read_decision::retry:
        retry(operation, operation.m_attempts.rejected(
                             result.m_reason, m_retries, m_core.m_now));
        return;
    case coordination::read_decision::drop:
        give_up(operation, result.m_reason);
        return;
    }
}

void read_service::retry(group_operation& operation,
                         coordination::attempt_result const& result)
{
    if (!result.m_retry)
    {
        give_up(operation, result.m_reason);
        return;
    }
    wait(operation, m_core.m_now);
}

void read_service::connection_lost(group_operation& operation,
                                   std::size_t member)
{
    operation.m_outstanding = false;
    retry(operation,
          operation.m_attempts.failed(member, state::reason::connection_lost,
                                      m_retries, m_core.m_now));
}

void read_service::give_up(group_operation& operation, state::reason why)
{
    auto const reason =
        why == state::reason::none ? state::reason::no_replica : why;
    m_core.complete(operation, failed_reply(state::outcome::not_executed,
                                            reason, default_retry_after));
}

void read_service::advance()
{
    advance_outstanding();
    advance_held();
    advance_waiting();
}

void read_service::advance_outstanding()
{
    while (!m_attempt_deadlines.empty() &&
           m_attempt_deadlines.begin()->first <= m_core.m_now)
    {
        auto const id = m_attempt_deadlines.begin()->second;
        m_attempt_deadlines.erase(m_attempt_deadlines.begin());
        auto* const operation = m_core.find(id);
        if (operation == nullptr || !operation->m_outstanding ||
            operation->m_attempt_deadline > m_core.m_now)
        {
            continue;
        }
        auto& link = *m_core.m_members[operation->m_member];
        link.note_answer(coordination::answer_quality::failed, {},
                         m_core.m_now);
        link.abandon(operation->m_connection);
        m_core.release_slot(id, std::nullopt);
        connection_lost(*operation, operation->m_member);
    }
}

void read_service::advance_held()
{
    for (auto const id : std::exchange(m_held, {}))
    {
        if (auto* const operation = m_core.find(id))
        {
            check(*operation);
        }
    }
}

void read_service::advance_waiting()
{
    for (auto const id : std::exchange(m_waiting, {}))
    {
        auto* const operation = m_core.find(id);
        if (operation == nullptr)
        {
            continue;
        }
        if (operation->m_requirement.m_deadline.expired(m_core.m_now))
        {
            give_up(*operation, state::reason::deadline_exceeded);
            continue;
        }
        if (std::exchange(operation->m_is_waiting, false) &&
            operation->m_timed_wait)
        {
            operation->m_attempts.note_wait();
        }
        route(*operation);
    }
}

} // namespace camphortide::transport
