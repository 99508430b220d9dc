#include <utility>

#include <camphortide/coordination/request/accept_read.hpp>
#include <camphortide/protocol/member_conversion.hpp>
#include <camphortide/transport/gateway/read_service.hpp>

namespace camphortide::transport
{

namespace
{

constexpr state::duration retry_hint{50};

} // namespace

read_service::read_service(
    group_core& core, std::unique_ptr<coordination::read_strategy> strategy)
    : m_core(core),
      m_router(std::move(strategy)),
      m_retries(coordination::retry_limits{})
{
}

void read_service::start(group_operation& work)
{
    m_retries.note_request();
    work.m_attempts = coordination::read_attempts(work.m_needed.m_deadline);
    route(work);
}

void read_service::route(group_operation& work)
{
    auto const views = m_core.views();
    coordination::read_input const input{work.m_needed,
                                         views,
                                         m_core.m_freshness,
                                         work.m_attempts.attempted(),
                                         work.m_attempts.primary_next(),
                                         m_core.random(),
                                         m_core.m_now};
    auto const choice = m_router.route(input);
    switch (choice.m_action)
    {
    case coordination::read_choice::action::send:
        send(work, choice.m_member);
        return;
    case coordination::read_choice::action::wait:
        wait(work, choice.m_until);
        return;
    case coordination::read_choice::action::refuse:
        give_up(work, choice.m_reason);
        return;
    }
}

void read_service::send(group_operation& work, std::size_t member)
{
    auto& link = *m_core.m_members[member];
    auto const connection = link.acquire(m_core.m_now);
    if (!connection)
    {
        wait(work, m_core.m_now);
        return;
    }
    link.note_sent_read(m_core.m_now);
    work.m_outstanding = true;
    work.m_member = member;
    work.m_connection = *connection;
    work.m_give_up_at =
        work.m_attempts.attempt_deadline(link.latency(), m_core.m_now);
    m_sent.emplace(work.m_give_up_at, work.m_id);
    endpoint::v1::Statement message;
    message.set_kind(endpoint::v1::STATEMENT_KIND_READ);
    message.set_text(work.m_request.m_statement);
    link.send(*connection, std::move(message),
              {awaited_answer::service::read, work.m_id});
}

void read_service::wait(group_operation& work, state::time_point until)
{
    work.m_waits = true;
    work.m_waited = until > m_core.m_now;
    m_waiting.push_back(work.m_id);
}

void read_service::answered(group_operation& work, std::size_t member,
                            endpoint::v1::StatementReply const& reply)
{
    work.m_outstanding = false;
    bool const ran = reply.code() == endpoint::v1::STATEMENT_CODE_OK;
    auto& answer = work.m_reply;
    answer.m_outcome =
        ran ? state::outcome::executed : state::outcome::not_executed;
    answer.m_reason =
        ran ? state::reason::none : state::reason::statement_failed;
    answer.m_result = reply.result();
    answer.m_position = protocol::from_proto(reply.position());
    answer.m_member = m_core.m_members[member]->description().m_name;
    answer.m_from_replica = reply.status().role() != endpoint::v1::ROLE_PRIMARY;
    check(work);
}

void read_service::check(group_operation& work)
{
    auto const result = coordination::accept_read(
        work.m_reply.m_position, work.m_needed, m_core.m_log.view(),
        m_core.m_freshness, m_core.m_now);
    switch (result.m_decision)
    {
    case coordination::read_decision::release:
        work.m_reply.m_age = result.m_age;
        m_core.complete(work, work.m_reply);
        return;
    case coordination::read_decision::hold:
        m_held.push_back(work.m_id);
        return;
    case coordination::read_decision::retry:
        try_again(work, work.m_attempts.rejected(result.m_reason, m_retries,
                                                 m_core.m_now));
        return;
    case coordination::read_decision::drop:
        give_up(work, result.m_reason);
        return;
    }
}

void read_service::try_again(group_operation& work,
                             coordination::attempt_result const& result)
{
    if (!result.m_retry)
    {
        give_up(work, result.m_reason);
        return;
    }
    wait(work, m_core.m_now);
}

void read_service::connection_lost(group_operation& work, std::size_t member)
{
    work.m_outstanding = false;
    try_again(work,
              work.m_attempts.failed(member, state::reason::connection_lost,
                                     m_retries, m_core.m_now));
}

void read_service::give_up(group_operation& work, state::reason why)
{
    auto const reason =
        why == state::reason::none ? state::reason::no_replica : why;
    m_core.complete(
        work, failed_reply(state::outcome::not_executed, reason, retry_hint));
}

void read_service::advance()
{
    advance_sent();
    advance_held();
    advance_waiting();
}

void read_service::advance_sent()
{
    while (!m_sent.empty() && m_sent.begin()->first <= m_core.m_now)
    {
        auto const id = m_sent.begin()->second;
        m_sent.erase(m_sent.begin());
        auto* const work = m_core.find(id);
        if (work == nullptr || !work->m_outstanding ||
            work->m_give_up_at > m_core.m_now)
        {
            continue;
        }
        auto& link = *m_core.m_members[work->m_member];
        link.note_answer(coordination::answer_quality::failed, {},
                         m_core.m_now);
        link.abandon(work->m_connection);
        m_core.leave_slot(id, std::nullopt);
        connection_lost(*work, work->m_member);
    }
}

void read_service::advance_held()
{
    for (auto const id : std::exchange(m_held, {}))
    {
        if (auto* const work = m_core.find(id))
        {
            check(*work);
        }
    }
}

void read_service::advance_waiting()
{
    for (auto const id : std::exchange(m_waiting, {}))
    {
        auto* const work = m_core.find(id);
        if (work == nullptr)
        {
            continue;
        }
        if (work->m_needed.m_deadline.expired(m_core.m_now))
        {
            give_up(*work, state::reason::deadline_exceeded);
            continue;
        }
        if (std::exchange(work->m_waits, false) && work->m_waited)
        {
            work->m_attempts.note_wait();
        }
        route(*work);
    }
}

} // namespace camphortide::transport
