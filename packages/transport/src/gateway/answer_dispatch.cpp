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
    auto const whose = link.take(connection, reply.request());
    if (!whose)
    {
        return;
    }
    link.note_answer(coordination::answer_quality::good,
                     group_core::since(whose->m_sent), m_core.m_now);
    if (whose->m_service != awaited_answer::service::transaction)
    {
        link.release(connection, m_core.m_now);
    }
    deliver(*whose, member, reply);
}

void answer_dispatch::deliver(awaited_answer const& whose, std::size_t member,
                              endpoint::v1::StatementReply const& reply)
{
    if (whose.m_service == awaited_answer::service::transaction)
    {
        m_transactions.answered(whose.m_operation, reply);
        return;
    }
    auto* const work = leave(whose, true);
    if (work == nullptr)
    {
        return;
    }
    if (whose.m_service == awaited_answer::service::write)
    {
        m_writes.answered(*work, reply);
        return;
    }
    m_reads.answered(*work, member, reply);
}

std::optional<awaited_answer>
answer_dispatch::lost(std::size_t member,
                      coordination::connection_id connection)
{
    return m_core.m_members[member]->lost(connection, m_core.m_now);
}

void answer_dispatch::fail(std::size_t member, awaited_answer const& whose)
{
    m_core.m_members[member]->note_answer(coordination::answer_quality::failed,
                                          group_core::since(whose.m_sent),
                                          m_core.m_now);
    if (whose.m_service == awaited_answer::service::transaction)
    {
        m_transactions.connection_lost(whose.m_operation);
        return;
    }
    auto* const work = leave(whose, false);
    if (work == nullptr)
    {
        return;
    }
    if (whose.m_service == awaited_answer::service::write)
    {
        m_writes.connection_lost(*work);
        return;
    }
    m_reads.connection_lost(*work, member);
}

group_operation* answer_dispatch::leave(awaited_answer const& whose,
                                        bool answered)
{
    m_core.leave_slot(whose.m_operation,
                      answered ? std::optional(whose.m_sent) : std::nullopt);
    if (whose.m_service == awaited_answer::service::write)
    {
        --m_core.m_writes_sent;
    }
    return m_core.find(whose.m_operation);
}

} // namespace camphortide::transport
