#include <array>
#include <utility>

#include <camphortide/coordination/session/session_state.hpp>

namespace camphortide::coordination
{

using state::session_phase;
using state::statement;
using state::statement_error;
using state::statement_kind;

session_state::handler session_state::handler_of(statement_kind kind)
{
    // In the order of statement_kind.
    static constexpr std::array<handler, 11> handlers{
        &session_state::begin,     &session_state::begin,
        &session_state::commit,    &session_state::roll_back,
        &session_state::run,       &session_state::run,
        &session_state::set_value, &session_state::prepare,
        &session_state::run,       &session_state::deallocate,
        &session_state::reject};
    return handlers.at(static_cast<std::size_t>(kind));
}

session_step session_state::accept(statement const& statement)
{
    bool const ends = statement.m_kind == statement_kind::roll_back ||
                      statement.m_kind == statement_kind::commit;
    if (m_phase == session_phase::failed_transaction && !ends)
    {
        return m_lost
                   ? fail(statement_error::aborted, "transaction rolled back")
                   : fail(statement_error::malformed, "transaction failed");
    }
    return (this->*handler_of(statement.m_kind))(statement);
}

session_step session_state::begin(statement const& statement)
{
    if (in_transaction())
    {
        return fail(statement_error::malformed, "transaction open");
    }
    m_phase = session_phase::in_transaction;
    m_read_only = statement.m_kind == statement_kind::begin_read_only;
    m_wrote = false;
    m_lost = false;
    return answer();
}

session_step session_state::commit(statement const&)
{
    if (in_transaction())
    {
        return {};
    }
    if (m_phase == session_phase::idle)
    {
        return fail(statement_error::malformed, "no transaction");
    }
    end_transaction(session_phase::idle);
    return fail(statement_error::aborted, "transaction rolled back");
}

session_step session_state::roll_back(statement const&)
{
    if (m_phase == session_phase::idle)
    {
        return fail(statement_error::malformed, "no transaction");
    }
    end_transaction(session_phase::idle);
    auto step = answer();
    step.m_end_transaction = true;
    return step;
}

session_step session_state::run(statement const& statement)
{
    if (statement.m_kind == statement_kind::execute && !shape_of(statement))
    {
        return fail(statement_error::no_such_statement, statement.m_name);
    }
    if (in_transaction() && m_read_only && writes(statement))
    {
        return fail(statement_error::read_only, "transaction only reads");
    }
    m_wrote = m_wrote || (in_transaction() && writes(statement));
    return {};
}

session_step session_state::set_value(statement const& statement)
{
    if (m_values.size() >= max_entries && !m_values.contains(statement.m_name))
    {
        return fail(statement_error::overload, "too many session values");
    }
    m_values.insert_or_assign(statement.m_name, statement.m_argument);
    return answer();
}

session_step session_state::prepare(statement const& statement)
{
    if (m_prepared.size() >= max_entries &&
        !m_prepared.contains(statement.m_name))
    {
        return fail(statement_error::overload, "too many prepared statements");
    }
    m_prepared.insert_or_assign(
        statement.m_name,
        prepared_shape{statement.m_prepares_write, statement.m_argument});
    return answer();
}

session_step session_state::deallocate(statement const& statement)
{
    if (m_prepared.erase(statement.m_name) == 0)
    {
        return fail(statement_error::no_such_statement, statement.m_name);
    }
    return answer();
}

session_step session_state::reject(statement const&)
{
    return fail(statement_error::malformed, "statement not understood");
}

session_step session_state::answer()
{
    session_step step;
    step.m_answer.emplace();
    step.m_answer->m_phase = m_phase;
    return step;
}

session_step session_state::fail(statement_error error, std::string text)
{
    session_step step;
    if (m_phase == session_phase::in_transaction)
    {
        end_transaction(session_phase::failed_transaction);
        step.m_end_transaction = true;
    }
    step.m_answer.emplace();
    step.m_answer->m_failure = state::statement_failure{error, std::move(text)};
    step.m_answer->m_phase = m_phase;
    return step;
}

void session_state::finish(statement const& statement,
                           state::statement_reply& reply)
{
    if (statement.m_kind == statement_kind::commit)
    {
        end_transaction(session_phase::idle);
    }
    else if (in_transaction() && !reply.ok())
    {
        end_transaction(session_phase::failed_transaction);
    }
    reply.m_phase = m_phase;
}

void session_state::lose_transaction()
{
    if (in_transaction())
    {
        end_transaction(session_phase::failed_transaction);
        m_lost = true;
    }
}

void session_state::end_transaction(session_phase next)
{
    m_phase = next;
    m_read_only = false;
    m_wrote = false;
    m_lost = false;
}

bool session_state::writes(statement const& statement) const
{
    if (auto const shape = shape_of(statement))
    {
        return shape->m_write;
    }
    return statement.m_kind == statement_kind::write;
}

std::optional<prepared_shape>
session_state::shape_of(statement const& statement) const
{
    auto const found = m_prepared.find(statement.m_name);
    if (statement.m_kind != statement_kind::execute ||
        found == m_prepared.end())
    {
        return std::nullopt;
    }
    return found->second;
}

} // namespace camphortide::coordination
