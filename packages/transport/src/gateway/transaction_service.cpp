#include <algorithm>
#include <utility>

#include <camphortide/transport/gateway/transaction_service.hpp>
#include <camphortide/transport/gateway/write_service.hpp>

namespace camphortide::transport
{

namespace
{

constexpr state::duration default_retry_after{50};

using coordination::transaction_step;

endpoint::v1::StatementKind to_proto(transaction_step::statement statement)
{
    switch (statement)
    {
    case transaction_step::statement::begin:
        return endpoint::v1::STATEMENT_KIND_BEGIN;
    case transaction_step::statement::execute:
        return endpoint::v1::STATEMENT_KIND_EXECUTE;
    case transaction_step::statement::commit:
        return endpoint::v1::STATEMENT_KIND_COMMIT;
    case transaction_step::statement::roll_back:
        return endpoint::v1::STATEMENT_KIND_ROLLBACK;
    case transaction_step::statement::resolve:
        return endpoint::v1::STATEMENT_KIND_RESOLVE;
    case transaction_step::statement::none:
        break;
    }
    return endpoint::v1::STATEMENT_KIND_UNSPECIFIED;
}

} // namespace

transaction_service::transaction_service(group_core& core) : m_core(core) {}

void transaction_service::begin(group_operation& operation)
{
    if (m_open.size() + m_waiting.size() >= m_max_open)
    {
        m_core.complete(operation,
                        failed_reply(state::outcome::not_executed,
                                     state::reason::concurrency_limit,
                                     default_retry_after));
        return;
    }
    if (!start(operation))
    {
        m_waiting.push_back(operation.m_id);
    }
}

bool transaction_service::start(group_operation& operation)
{
    auto* const link = m_core.admits_writes() ? m_core.primary() : nullptr;
    auto const connection =
        link == nullptr ? std::nullopt : link->acquire(m_core.m_now);
    if (!connection)
    {
        return false;
    }
    auto const& request = operation.m_request;
    auto const id = ++m_last_id;
    open_transaction opened{
        request.m_transaction,
        coordination::transaction(request.m_key, m_core.m_primary->m_term,
                                  coordination::deadline(request.m_deadline)),
        *m_core.primary_index(),
        connection,
        operation.m_id,
        {},
        request.m_key,
        {},
        false,
        false};
    m_names[request.m_transaction] = id;
    auto& added = m_open.emplace(id, std::move(opened)).first->second;
    operation.m_outstanding = true;
    send(id, added, transaction_step::statement::begin);
    return true;
}

void transaction_service::step(group_operation& operation)
{
    auto const found = m_names.find(operation.m_request.m_transaction);
    if (found == m_names.end())
    {
        m_core.complete(operation,
                        failed_reply(state::outcome::not_executed,
                                     state::reason::transaction_lost));
        return;
    }
    auto const id = found->second;
    auto& open = m_open.at(id);
    if (operation.m_request.m_kind == request_kind::leave)
    {
        apply(id, open.m_state_machine.caller_left());
        m_core.complete(operation, failed_reply(state::outcome::not_executed,
                                                state::reason::cancelled));
        return;
    }
    if (m_core.find(open.m_operation) != nullptr)
    {
        m_core.complete(operation, failed_reply(state::outcome::not_executed,
                                                state::reason::bad_request));
        return;
    }
    open.m_operation = operation.m_id;
    open.m_statement = operation.m_request.m_statement;
    switch (operation.m_request.m_kind)
    {
    case request_kind::execute:
        apply(id, open.m_state_machine.execute());
        return;
    case request_kind::commit:
        operation.m_may_have_run = true;
        apply(id, open.m_state_machine.commit());
        return;
    default:
        apply(id, open.m_state_machine.roll_back());
        return;
    }
}

void transaction_service::answered(std::uint64_t transaction,
                                   endpoint::v1::StatementReply const& reply)
{
    auto const found = m_open.find(transaction);
    if (found == m_open.end())
    {
        return;
    }
    auto& open = found->second;
    if (auto* const operation = m_core.find(open.m_operation))
    {
        operation->m_outstanding = false;
    }
    end_resolve(open, true);
    open.m_result = reply.result();
    apply(transaction, open.m_state_machine.answered(to_keyed_answer(reply),
                                                     m_core.m_log.view()));
}

void transaction_service::connection_lost(std::uint64_t transaction)
{
    auto const found = m_open.find(transaction);
    if (found == m_open.end())
    {
        return;
    }
    auto& open = found->second;
    open.m_connection.reset();
    open.m_resolving = false;
    if (auto* const operation = m_core.find(open.m_operation))
    {
        operation->m_outstanding = false;
    }
    apply(transaction, open.m_state_machine.connection_lost());
}

void transaction_service::connection_closed(
    std::size_t member, coordination::connection_id connection)
{
    auto const found =
        std::ranges::find_if(m_open,
                             [&](auto const& item)
                             {
                                 return item.second.m_member == member &&
                                        item.second.m_connection == connection;
                             });
    if (found != m_open.end())
    {
        connection_lost(found->first);
    }
}

void transaction_service::advance()
{
    if (m_last_log_view != m_core.m_log.view())
    {
        m_last_log_view = m_core.m_log.view();
        std::vector<std::uint64_t> ids;
        for (auto const& [id, open] : m_open)
        {
            ids.push_back(id);
        }
        for (auto const id : ids)
        {
            apply(id,
                  m_open.at(id).m_state_machine.log_changed(m_last_log_view));
        }
    }
    for (auto& [id, open] : m_open)
    {
        if (open.m_resolve_pending)
        {
            send_resolve(id, open);
        }
    }
    for (auto const id : std::exchange(m_waiting, {}))
    {
        auto* const operation = m_core.find(id);
        if (operation != nullptr && !start(*operation))
        {
            m_waiting.push_back(id);
        }
    }
}

void transaction_service::expire()
{
    std::vector<std::uint64_t> ids;
    for (auto const& [id, open] : m_open)
    {
        ids.push_back(id);
    }
    for (auto const id : ids)
    {
        apply(id, m_open.at(id).m_state_machine.expire(m_core.m_now));
    }
    for (auto const id : std::exchange(m_waiting, {}))
    {
        auto* const operation = m_core.find(id);
        if (operation == nullptr)
        {
            continue;
        }
        if (operation->m_request.m_deadline > m_core.m_now)
        {
            m_waiting.push_back(id);
            continue;
        }
        m_core.complete(*operation,
                        failed_reply(state::outcome::not_executed,
                                     state::reason::deadline_exceeded));
    }
}

void transaction_service::apply(std::uint64_t id, transaction_step const& step)
{
    auto& open = m_open.at(id);
    use_connection(open, step.m_connection);
    if (step.m_send == transaction_step::statement::resolve)
    {
        send_resolve(id, open);
    }
    else if (step.m_send != transaction_step::statement::none)
    {
        send(id, open, step.m_send);
    }
    answer(open, step);
    if (open.m_state_machine.current_phase() ==
        coordination::transaction::phase::done)
    {
        end_resolve(open, false);
        m_names.erase(open.m_name);
        m_open.erase(id);
    }
}

void transaction_service::use_connection(open_transaction& open,
                                         transaction_step::connection_use use)
{
    if (use == transaction_step::connection_use::keep || !open.m_connection)
    {
        return;
    }
    auto const connection = *std::exchange(open.m_connection, std::nullopt);
    auto& link = *m_core.m_members[open.m_member];
    if (use == transaction_step::connection_use::release)
    {
        link.release(connection, m_core.m_now);
        return;
    }
    link.abandon(connection);
}

void transaction_service::send(std::uint64_t id, open_transaction& open,
                               transaction_step::statement statement)
{
    if (!open.m_connection)
    {
        return;
    }
    endpoint::v1::Statement message;
    message.set_kind(to_proto(statement));
    message.set_term(m_core.m_primary ? m_core.m_primary->m_term.value() : 0);
    if (statement == transaction_step::statement::execute)
    {
        message.set_text(open.m_statement);
    }
    if (statement == transaction_step::statement::commit)
    {
        message.set_key(open.m_key);
    }
    m_core.m_members[open.m_member]->send(
        *open.m_connection, std::move(message),
        {awaited_answer::service::transaction, id});
}

void transaction_service::end_resolve(open_transaction& open, bool clean)
{
    if (!std::exchange(open.m_resolving, false) || !open.m_connection)
    {
        return;
    }
    use_connection(open, clean ? transaction_step::connection_use::release
                               : transaction_step::connection_use::close);
}

void transaction_service::send_resolve(std::uint64_t id, open_transaction& open)
{
    end_resolve(open, false);
    auto* const link = m_core.primary();
    auto const connection =
        link == nullptr ? std::nullopt : link->acquire(m_core.m_now);
    open.m_resolve_pending = !connection.has_value();
    if (!connection)
    {
        return;
    }
    auto const term = m_core.m_primary->m_term;
    open.m_connection = connection;
    open.m_resolving = true;
    open.m_member = *m_core.primary_index();
    open.m_state_machine.note_resolve_sent(term);
    endpoint::v1::Statement message;
    message.set_kind(endpoint::v1::STATEMENT_KIND_RESOLVE);
    message.set_term(term.value());
    message.set_key(open.m_key);
    link->send(*connection, std::move(message),
               {awaited_answer::service::transaction, id});
}

void transaction_service::answer(open_transaction& open,
                                 transaction_step const& step)
{
    auto* const operation = m_core.find(open.m_operation);
    if (step.m_answer == transaction_step::answer::none || operation == nullptr)
    {
        return;
    }
    group_reply reply;
    reply.m_outcome = step.m_result.m_outcome;
    reply.m_reason = step.m_result.m_reason;
    reply.m_position = step.m_result.m_position;
    reply.m_replayed = step.m_result.m_replayed;
    reply.m_result = open.m_result;
    reply.m_member = m_core.m_members[open.m_member]->description().m_name;
    m_core.complete(*operation, std::move(reply));
}

} // namespace camphortide::transport
