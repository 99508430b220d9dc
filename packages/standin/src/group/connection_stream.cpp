#include "connection_stream.hpp"

#include <memory>
#include <utility>

#include <camphortide/protocol/member_conversion.hpp>
#include <camphortide/standin/group/group_server.hpp>

namespace camphortide::standin
{

namespace
{

endpoint::v1::StatementCode to_proto(statement_code code)
{
    switch (code)
    {
    case statement_code::ok:
        return endpoint::v1::STATEMENT_CODE_OK;
    case statement_code::not_primary:
        return endpoint::v1::STATEMENT_CODE_NOT_PRIMARY;
    case statement_code::wrong_term:
        return endpoint::v1::STATEMENT_CODE_WRONG_TERM;
    case statement_code::key_barred:
        return endpoint::v1::STATEMENT_CODE_KEY_BARRED;
    case statement_code::failed:
        return endpoint::v1::STATEMENT_CODE_FAILED;
    case statement_code::no_transaction:
        return endpoint::v1::STATEMENT_CODE_NO_TRANSACTION;
    case statement_code::rolled_back:
        return endpoint::v1::STATEMENT_CODE_ROLLED_BACK;
    }
    return endpoint::v1::STATEMENT_CODE_UNSPECIFIED;
}

bool is_new_work(endpoint::v1::StatementKind kind)
{
    return kind == endpoint::v1::STATEMENT_KIND_READ ||
           kind == endpoint::v1::STATEMENT_KIND_WRITE ||
           kind == endpoint::v1::STATEMENT_KIND_BEGIN;
}

} // namespace

void connection_stream::send_opened()
{
    endpoint::v1::StatementReply message;
    message.set_code(endpoint::v1::STATEMENT_CODE_OPENED);
    *message.mutable_status() = m_member.status_message(0);
    send(std::move(message));
}

void connection_stream::handle(endpoint::v1::Statement const& request)
{
    m_member.after_network_delay([self = shared_from_this(), this, request]
                                 { accept(request); });
}

void connection_stream::accept(endpoint::v1::Statement const& request)
{
    m_member.when_reachable(
        [self = shared_from_this(), this, request]
        {
            if (is_new_work(request.kind()))
            {
                m_member.count_statement();
            }
            m_member.run_in_slot([self, this, request] { run(request); });
        });
}

void connection_stream::on_end()
{
    m_member.remove_stream(
        std::static_pointer_cast<connection_stream>(shared_from_this()));
}

void connection_stream::run(endpoint::v1::Statement const& request)
{
    static constexpr handler handlers[] = {nullptr,
                                           &connection_stream::read,
                                           &connection_stream::write,
                                           &connection_stream::begin,
                                           &connection_stream::execute,
                                           &connection_stream::commit,
                                           &connection_stream::roll_back,
                                           &connection_stream::resolve,
                                           &connection_stream::ping};
    auto const kind = static_cast<std::size_t>(request.kind());
    if (kind == 0 || kind >= std::size(handlers))
    {
        reply(request,
              {statement_code::failed, "unknown kind of statement", {}, false});
        return;
    }
    reply(request, (this->*handlers[kind])(request));
}

void connection_stream::reply(endpoint::v1::Statement const& request,
                              statement_answer answer)
{
    endpoint::v1::StatementReply message;
    message.set_request(request.request());
    message.set_code(to_proto(answer.m_code));
    message.set_result(std::move(answer.m_result));
    *message.mutable_position() = protocol::to_proto(answer.m_position);
    message.set_replayed(answer.m_replayed);
    *message.mutable_status() = m_member.status_message(request.probe());
    m_member.after_network_delay(
        [self = shared_from_this(), this, message = std::move(message)]
        { m_member.when_reachable([self, this, message] { send(message); }); });
}

statement_answer connection_stream::read(endpoint::v1::Statement const& request)
{
    return m_member.m_model.read(request.text());
}

statement_answer
connection_stream::write(endpoint::v1::Statement const& request)
{
    auto answer = m_member.m_model.write(state::term(request.term()),
                                         request.key(), {request.text()});
    m_member.on_write();
    return answer;
}

statement_answer
connection_stream::begin(endpoint::v1::Statement const& request)
{
    auto const status = m_member.m_model.status();
    if (status.m_role != state::member_role::primary)
    {
        return {statement_code::not_primary, {}, {}, false};
    }
    if (status.m_followed != state::term(request.term()))
    {
        return {statement_code::wrong_term, {}, {}, false};
    }
    m_transaction = transaction{state::term(request.term()), {}};
    return {statement_code::ok, {}, status.m_applied, false};
}

statement_answer
connection_stream::execute(endpoint::v1::Statement const& request)
{
    if (!m_transaction)
    {
        return {statement_code::no_transaction, {}, {}, false};
    }
    m_transaction->m_statements.push_back(request.text());
    table trial = m_member.m_model.rows();
    statement_result result;
    for (auto const& statement : m_transaction->m_statements)
    {
        result = run_statement(trial, statement);
    }
    if (!result.m_ok)
    {
        m_transaction->m_statements.pop_back();
    }
    return {result.m_ok ? statement_code::ok : statement_code::failed,
            std::move(result.m_text), m_member.m_model.status().m_applied,
            false};
}

statement_answer
connection_stream::commit(endpoint::v1::Statement const& request)
{
    if (!m_transaction)
    {
        return {statement_code::no_transaction, {}, {}, false};
    }
    auto const committed = std::exchange(m_transaction, std::nullopt);
    auto answer = m_member.m_model.write(committed->m_term, request.key(),
                                         committed->m_statements);
    m_member.on_write();
    return answer;
}

statement_answer connection_stream::roll_back(endpoint::v1::Statement const&)
{
    m_transaction.reset();
    return {statement_code::rolled_back, {}, {}, false};
}

statement_answer
connection_stream::resolve(endpoint::v1::Statement const& request)
{
    auto answer =
        m_member.m_model.resolve(state::term(request.term()), request.key());
    m_member.on_write();
    return answer;
}

statement_answer connection_stream::ping(endpoint::v1::Statement const&)
{
    return {statement_code::ok, {}, m_member.m_model.status().m_applied, false};
}

} // namespace camphortide::standin
