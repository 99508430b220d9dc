#include <camphortide/transport/gateway/answer_dispatch.hpp>

namespace camphortide::transport
{

answer_dispatch::answer_dispatch(group_core& core, read_service& reads,
                                 write_service& writes,
                                 transaction_service& transactions)
    : m_core(core),
      m_reads(reads),
      m_writes(writes),
      m_transactions(transactions)
{
}

void answer_dispatch::received(std::size_t member,
                               coordination::connection_id connection,
                               endpoint::v1::StatementReply const& reply)
{
    auto& link = *m_core.m_members[member];
    if (reply.code() == endpoint::v1::STATEMENT_CODE_OPENED)
    {
        link.opened(connection, m_core.m_now);
        return;
    }
    auto const awaited = link.match_answer(connection, reply.request());
    if (!awaited)
    {
        return;
    }
    link.note_answer(coordination::answer_quality::good,
                     group_core::elapsed_since(awaited->m_sent), m_core.m_now);
    if (awaited->m_service != awaited_answer::service::transaction)
    {
        link.release(connection, m_core.m_now);
    }
    deliver(*awaited, member, reply);
}

void answer_dispatch::deliver(awaited_answer const& awaited, std::size_t member,
                              endpoint::v1::StatementReply const& reply)
{
    if (awaited.m_service == awaited_answer::service::transaction)
    {
        m_transactions.answered(awaited.m_operation, reply);
        return;
    }
    auto* const operation = release_slot(awaited, true);
    if (operation == nullptr)
    {
        return;
    }
    if (awaited.m_service == awaited_answer::service::write)
    {
        m_writes.answered(*operation, reply);
        return;
    }
    m_reads.answered(*operation, member, reply);
}

std::optional<awaited_answer>
answer_dispatch::connection_lost(std::size_t member,
                                 coordination::connection_id connection)
{
    return m_core.m_members[member]->lost(connection, m_core.m_now);
}

void answer_dispatch::answer_failed(std::size_t member,
                                    awaited_answer const& awaited)
{
    m_core.m_members[member]->note_answer(
        coordination::answer_quality::failed,
        group_core::elapsed_since(awaited.m_sent), m_core.m_now);
    if (awaited.m_service == awaited_answer::service::transaction)
    {
        m_transactions.connection_lost(awaited.m_operation);
        return;
    }
    auto* const operation = release_slot(awaited, false);
    if (operation == nullptr)
    {
        return;
    }
    if (awaited.m_service == awaited_answer::service::write)
    {
        m_writes.connection_lost(*operation);
        return;
    }
    m_reads.connection_lost(*operation, member);
}

group_operation* answer_dispatch::release_slot(awaited_answer const& awaited,
                                               bool answered)
{
    m_core.release_slot(awaited.m_operation, answered
                                                 ? std::optional(awaited.m_sent)
                                                 : std::nullopt);
    if (awaited.m_service == awaited_answer::service::write)
    {
        --m_core.m_writes_sent;
    }
    return m_core.find(awaited.m_operation);
}

} // namespace camphortide::transport
