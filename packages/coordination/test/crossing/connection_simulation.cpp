#include "connection_simulation.hpp"

#include <algorithm>
#include <limits>
#include <utility>

namespace camphortide::coordination
{

namespace
{

constexpr std::size_t steps = 400;
constexpr std::size_t pool_budget = 4;
constexpr std::size_t duplicate_percent = 10;
state::term const only_term(1);

log_view log()
{
    return {only_term,
            {only_term, std::numeric_limits<std::uint64_t>::max()},
            state::term_history({{only_term, 1}}),
            std::numeric_limits<std::uint64_t>::max()};
}

} // namespace

connection_simulation::connection_simulation(std::uint64_t seed,
                                             broken_connection_rule broken)
    : m_random(seed),
      m_broken_rule(broken),
      m_pool({.m_min_idle = 2, .m_max_uses = 20})
{
    m_pool.set_budget(pool_budget);
}

violation connection_simulation::run()
{
    for (std::size_t i = 0; i < steps; ++i)
    {
        m_now += state::duration(1);
        update_pool();
        step();
    }
    return m_first_violation;
}

void connection_simulation::step()
{
    auto const choice = random_below(20);
    if (choice < 3)
    {
        start_transaction();
    }
    else if (choice < 9)
    {
        if (auto* const sender = random_caller())
        {
            continue_transaction(*sender);
        }
    }
    else if (choice < 10)
    {
        lose_connection();
    }
    else
    {
        deliver_message();
    }
}

void connection_simulation::start_transaction()
{
    auto const connection = m_pool.acquire(m_now);
    if (!connection)
    {
        return;
    }
    auto const number = ++m_last_caller;
    caller sender{number,
                  transaction(std::to_string(number), only_term,
                              deadline(m_now + state::duration(60))),
                  *connection};
    send(m_callers.emplace(number, std::move(sender)).first->second,
         statement::begin);
}

void connection_simulation::continue_transaction(caller& sender)
{
    auto const number = sender.m_number;
    auto const choice = random_below(10);
    if (choice == 0 && !sender.m_has_left)
    {
        leave_caller(sender);
    }
    else if (choice == 1)
    {
        apply(number, sender.m_transaction.expire(m_now));
    }
    else if (choice < 6)
    {
        apply(number, sender.m_transaction.execute());
    }
    else if (choice < 9)
    {
        apply(number, sender.m_transaction.commit());
    }
    else
    {
        apply(number, sender.m_transaction.roll_back());
    }
}

void connection_simulation::leave_caller(caller& sender)
{
    sender.m_has_left = true;
    bool const unconfirmed =
        m_broken_rule == broken_connection_rule::pool_without_confirmation &&
        sender.m_transaction.current_phase() == transaction::phase::open;
    if (unconfirmed)
    {
        return_connection(sender, transaction_step::connection_use::release);
        m_callers.erase(sender.m_number);
        return;
    }
    apply(sender.m_number, sender.m_transaction.caller_left());
}

/// Delivers the first message of a random connection and direction: a stream
/// keeps its order.
void connection_simulation::deliver_message()
{
    if (m_messages.empty())
    {
        return;
    }
    auto const chosen = m_messages[random_below(m_messages.size())];
    auto const first = std::ranges::find_if(
        m_messages,
        [&](message const& other)
        {
            return other.m_connection == chosen.m_connection &&
                   other.m_is_answer == chosen.m_is_answer;
        });
    auto const value = *first;
    m_messages.erase(first);
    if (!value.m_is_answer)
    {
        run_statement(value);
        return;
    }
    if (random_below(100) < duplicate_percent)
    {
        m_messages.push_back(value);
    }
    handle_answer(value);
}

void connection_simulation::run_statement(message value)
{
    auto const connection = value.m_connection.m_generation;
    auto code = statement_code::ok;
    switch (value.m_kind)
    {
    case statement::none:
        m_open_transactions.erase(connection);
        m_pool.lost(value.m_connection, m_now);
        return;
    case statement::begin:
        if (m_open_transactions.contains(connection))
        {
            note_violation(violation::statements_mixed);
        }
        m_open_transactions[connection] = value.m_caller;
        break;
    case statement::commit:
        code = run_commit(value);
        break;
    case statement::roll_back:
        if (!has_open_transaction(value))
        {
            note_violation(violation::statements_mixed);
        }
        m_open_transactions.erase(connection);
        code = statement_code::rolled_back;
        break;
    default:
        if (!has_open_transaction(value))
        {
            note_violation(violation::statements_mixed);
        }
    }
    value.m_is_answer = true;
    value.m_answer = {code, {only_term, ++m_index}, false};
    m_messages.push_back(value);
}

statement_code connection_simulation::run_commit(message const& value)
{
    if (!has_open_transaction(value))
    {
        note_violation(violation::statements_mixed);
    }
    m_open_transactions.erase(value.m_connection.m_generation);
    if (m_barred_callers.contains(value.m_caller))
    {
        return statement_code::key_barred;
    }
    if (m_reported_not_executed.contains(value.m_caller))
    {
        note_violation(violation::unexpected_commit);
    }
    m_committed.insert(value.m_caller);
    return statement_code::ok;
}

void connection_simulation::handle_answer(message const& value)
{
    bool const expected =
        m_pool.match_answer(value.m_connection, value.m_request);
    bool const any = m_broken_rule == broken_connection_rule::take_any_answer;
    if (!expected && !any)
    {
        return;
    }
    auto const found = std::ranges::find_if(
        m_callers,
        [&](auto const& entry)
        {
            return entry.second.m_holds_connection &&
                   entry.second.m_request != 0 &&
                   entry.second.m_connection == value.m_connection;
        });
    if (found == m_callers.end())
    {
        return;
    }
    auto& sender = found->second;
    if (sender.m_number != value.m_caller ||
        sender.m_request != value.m_request)
    {
        note_violation(violation::answer_misdelivered);
    }
    sender.m_request = 0;
    apply(sender.m_number,
          sender.m_transaction.answered(value.m_answer, log()));
}

void connection_simulation::lose_connection()
{
    auto* const sender = random_caller();
    if (sender == nullptr || !sender->m_holds_connection)
    {
        return;
    }
    auto const connection = sender->m_connection;
    m_pool.lost(connection, m_now);
    m_messages.push_back({connection, 0, 0, statement::none, false, {}});
    sender->m_holds_connection = false;
    apply(sender->m_number, sender->m_transaction.connection_lost());
}

void connection_simulation::apply(std::uint64_t number,
                                  transaction_step const& step)
{
    auto& sender = m_callers.at(number);
    return_connection(sender, step.m_connection);
    if (step.m_send == statement::resolve)
    {
        resolve_commit(number);
        return;
    }
    if (step.m_send != statement::none)
    {
        send(sender, step.m_send);
    }
    if (step.m_answer == transaction_step::answer::final)
    {
        report_result(number, step.m_result);
    }
    if (sender.m_transaction.current_phase() == transaction::phase::done)
    {
        m_callers.erase(number);
    }
}

void connection_simulation::send(caller& sender, statement kind)
{
    sender.m_request = m_pool.next_request(sender.m_connection);
    m_messages.push_back({sender.m_connection,
                          sender.m_request,
                          sender.m_number,
                          kind,
                          false,
                          {}});
}

void connection_simulation::return_connection(
    caller& sender, transaction_step::connection_use use)
{
    using connection_use = transaction_step::connection_use;
    if (use == connection_use::keep || !sender.m_holds_connection)
    {
        return;
    }
    sender.m_holds_connection = false;
    if (use == connection_use::release)
    {
        m_pool.release(sender.m_connection, m_now);
        return;
    }
    if (m_broken_rule == broken_connection_rule::pool_with_answer_outstanding)
    {
        m_pool.match_answer(sender.m_connection, sender.m_request);
        m_pool.release(sender.m_connection, m_now);
        return;
    }
    m_pool.abandon(sender.m_connection);
}

/// Executes RESOLVE immediately: it finds the commit or bars it.
void connection_simulation::resolve_commit(std::uint64_t number)
{
    auto& sender = m_callers.at(number);
    bool const was_committed = m_committed.contains(number);
    if (!was_committed)
    {
        m_barred_callers.insert(number);
    }
    sender.m_transaction.note_resolve_sent(only_term);
    apply(number,
          sender.m_transaction.answered(
              {was_committed ? statement_code::ok : statement_code::key_barred,
               {only_term, ++m_index},
               was_committed},
              log()));
}

void connection_simulation::report_result(std::uint64_t number,
                                          request_result const& result)
{
    if (result.m_outcome != state::outcome::not_executed)
    {
        return;
    }
    m_reported_not_executed.insert(number);
    if (m_committed.contains(number))
    {
        note_violation(violation::unexpected_commit);
    }
}

void connection_simulation::update_pool()
{
    for (auto const& action : m_pool.step(m_now))
    {
        if (action.m_kind == pool_action::kind::open)
        {
            m_pool.opened(action.m_connection, m_now);
            continue;
        }
        m_messages.push_back(
            {action.m_connection, 0, 0, statement::none, false, {}});
    }
}

bool connection_simulation::has_open_transaction(message const& value) const
{
    auto const found =
        m_open_transactions.find(value.m_connection.m_generation);
    return found != m_open_transactions.end() &&
           found->second == value.m_caller;
}

void connection_simulation::note_violation(violation value)
{
    if (m_first_violation == violation::none)
    {
        m_first_violation = value;
    }
}

connection_simulation::caller* connection_simulation::random_caller()
{
    if (m_callers.empty())
    {
        return nullptr;
    }
    auto const position =
        static_cast<std::ptrdiff_t>(random_below(m_callers.size()));
    return &std::next(m_callers.begin(), position)->second;
}

} // namespace camphortide::coordination
