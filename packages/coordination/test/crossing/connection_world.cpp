#include "connection_world.hpp"

#include <algorithm>
#include <limits>
#include <utility>

namespace camphortide::coordination
{

namespace
{

constexpr std::size_t steps = 400;
constexpr std::size_t budget = 4;
constexpr std::size_t repeat_percent = 10;
state::term const only_term(1);

log_view log()
{
    return {only_term,
            {only_term, std::numeric_limits<std::uint64_t>::max()},
            state::term_history({{only_term, 1}}),
            std::numeric_limits<std::uint64_t>::max()};
}

} // namespace

connection_world::connection_world(std::uint64_t seed,
                                   broken_connection_rule broken)
    : m_random(seed),
      m_broken(broken),
      m_pool({.m_min_idle = 2, .m_max_uses = 20})
{
    m_pool.set_budget(budget);
}

crossing connection_world::run()
{
    for (std::size_t i = 0; i < steps; ++i)
    {
        m_now += state::duration(1);
        settle_pool();
        step();
    }
    return m_found;
}

void connection_world::step()
{
    auto const draw = below(20);
    if (draw < 3)
    {
        start();
    }
    else if (draw < 9)
    {
        if (auto* const one = any_caller())
        {
            act(*one);
        }
    }
    else if (draw < 10)
    {
        lose_connection();
    }
    else
    {
        move_message();
    }
}

void connection_world::start()
{
    auto const connection = m_pool.acquire(m_now);
    if (!connection)
    {
        return;
    }
    auto const number = ++m_last_caller;
    caller one{number,
               transaction(std::to_string(number), only_term,
                           deadline(m_now + state::duration(60))),
               *connection};
    send(m_callers.emplace(number, std::move(one)).first->second,
         statement::begin);
}

void connection_world::act(caller& one)
{
    auto const number = one.m_number;
    auto const draw = below(10);
    if (draw == 0 && !one.m_left)
    {
        leave(one);
    }
    else if (draw == 1)
    {
        apply(number, one.m_work.expire(m_now));
    }
    else if (draw < 6)
    {
        apply(number, one.m_work.execute());
    }
    else if (draw < 9)
    {
        apply(number, one.m_work.commit());
    }
    else
    {
        apply(number, one.m_work.roll_back());
    }
}

void connection_world::leave(caller& one)
{
    one.m_left = true;
    bool const unconfirmed =
        m_broken == broken_connection_rule::pool_without_confirmation &&
        one.m_work.current_phase() == transaction::phase::open;
    if (unconfirmed)
    {
        give_back(one, transaction_step::connection_use::release);
        m_callers.erase(one.m_number);
        return;
    }
    apply(one.m_number, one.m_work.caller_left());
}

/// Takes the first message of a random connection and direction, as a stream
/// keeps its order.
void connection_world::move_message()
{
    if (m_messages.empty())
    {
        return;
    }
    auto const chosen = m_messages[below(m_messages.size())];
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
    if (below(100) < repeat_percent)
    {
        m_messages.push_back(value);
    }
    take_answer(value);
}

void connection_world::run_statement(message value)
{
    auto const connection = value.m_connection.m_generation;
    auto code = statement_code::ok;
    switch (value.m_kind)
    {
    case statement::none:
        m_opened.erase(connection);
        m_pool.lost(value.m_connection, m_now);
        return;
    case statement::begin:
        if (m_opened.contains(connection))
        {
            note(crossing::statements_mixed);
        }
        m_opened[connection] = value.m_caller;
        break;
    case statement::commit:
        code = run_commit(value);
        break;
    case statement::roll_back:
        if (!opened_by(value))
        {
            note(crossing::statements_mixed);
        }
        m_opened.erase(connection);
        code = statement_code::rolled_back;
        break;
    default:
        if (!opened_by(value))
        {
            note(crossing::statements_mixed);
        }
    }
    value.m_is_answer = true;
    value.m_answer = {code, {only_term, ++m_index}, false};
    m_messages.push_back(value);
}

statement_code connection_world::run_commit(message const& value)
{
    if (!opened_by(value))
    {
        note(crossing::statements_mixed);
    }
    m_opened.erase(value.m_connection.m_generation);
    if (m_barred.contains(value.m_caller))
    {
        return statement_code::key_barred;
    }
    if (m_denied.contains(value.m_caller))
    {
        note(crossing::effect_left);
    }
    m_effects.insert(value.m_caller);
    return statement_code::ok;
}

void connection_world::take_answer(message const& value)
{
    bool const expected =
        m_pool.match_answer(value.m_connection, value.m_request);
    bool const any = m_broken == broken_connection_rule::take_any_answer;
    if (!expected && !any)
    {
        return;
    }
    auto const found = std::ranges::find_if(
        m_callers,
        [&](auto const& entry)
        {
            return entry.second.m_bound && entry.second.m_request != 0 &&
                   entry.second.m_connection == value.m_connection;
        });
    if (found == m_callers.end())
    {
        return;
    }
    auto& one = found->second;
    if (one.m_number != value.m_caller || one.m_request != value.m_request)
    {
        note(crossing::answer_crossed);
    }
    one.m_request = 0;
    apply(one.m_number, one.m_work.answered(value.m_answer, log()));
}

void connection_world::lose_connection()
{
    auto* const one = any_caller();
    if (one == nullptr || !one->m_bound)
    {
        return;
    }
    auto const connection = one->m_connection;
    m_pool.lost(connection, m_now);
    m_messages.push_back({connection, 0, 0, statement::none, false, {}});
    one->m_bound = false;
    apply(one->m_number, one->m_work.connection_lost());
}

void connection_world::apply(std::uint64_t number, transaction_step const& step)
{
    auto& one = m_callers.at(number);
    give_back(one, step.m_connection);
    if (step.m_send == statement::resolve)
    {
        resolve(number);
        return;
    }
    if (step.m_send != statement::none)
    {
        send(one, step.m_send);
    }
    if (step.m_answer == transaction_step::answer::final)
    {
        tell(number, step.m_result);
    }
    if (one.m_work.current_phase() == transaction::phase::done)
    {
        m_callers.erase(number);
    }
}

void connection_world::send(caller& one, statement kind)
{
    one.m_request = m_pool.next_request(one.m_connection);
    m_messages.push_back(
        {one.m_connection, one.m_request, one.m_number, kind, false, {}});
}

void connection_world::give_back(caller& one,
                                 transaction_step::connection_use use)
{
    using connection_use = transaction_step::connection_use;
    if (use == connection_use::keep || !one.m_bound)
    {
        return;
    }
    one.m_bound = false;
    if (use == connection_use::release)
    {
        m_pool.release(one.m_connection, m_now);
        return;
    }
    if (m_broken == broken_connection_rule::pool_with_answer_outstanding)
    {
        m_pool.match_answer(one.m_connection, one.m_request);
        m_pool.release(one.m_connection, m_now);
        return;
    }
    m_pool.abandon(one.m_connection);
}

/// RESOLVE finds the commit or bars it, at once.
void connection_world::resolve(std::uint64_t number)
{
    auto& one = m_callers.at(number);
    bool const ran = m_effects.contains(number);
    if (!ran)
    {
        m_barred.insert(number);
    }
    one.m_work.note_resolve_sent(only_term);
    apply(number, one.m_work.answered(
                      {ran ? statement_code::ok : statement_code::key_barred,
                       {only_term, ++m_index},
                       ran},
                      log()));
}

void connection_world::tell(std::uint64_t number, request_result const& result)
{
    if (result.m_outcome != state::outcome::not_executed)
    {
        return;
    }
    m_denied.insert(number);
    if (m_effects.contains(number))
    {
        note(crossing::effect_left);
    }
}

void connection_world::settle_pool()
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

bool connection_world::opened_by(message const& value) const
{
    auto const found = m_opened.find(value.m_connection.m_generation);
    return found != m_opened.end() && found->second == value.m_caller;
}

void connection_world::note(crossing value)
{
    if (m_found == crossing::none)
    {
        m_found = value;
    }
}

connection_world::caller* connection_world::any_caller()
{
    if (m_callers.empty())
    {
        return nullptr;
    }
    auto const place = static_cast<std::ptrdiff_t>(below(m_callers.size()));
    return &std::next(m_callers.begin(), place)->second;
}

} // namespace camphortide::coordination
