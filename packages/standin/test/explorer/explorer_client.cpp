#include "explorer_client.hpp"

#include <algorithm>
#include <limits>
#include <utility>

namespace camphortide::standin
{

namespace
{

using keyed_action = coordination::keyed_step::action;

constexpr char const* effect = "add n 1";
constexpr auto no_limit = std::numeric_limits<std::uint64_t>::max();

coordination::statement_code to_code(statement_code code)
{
    using to = coordination::statement_code;
    switch (code)
    {
    case statement_code::ok:
        return to::ok;
    case statement_code::not_primary:
        return to::not_primary;
    case statement_code::wrong_term:
        return to::wrong_term;
    case statement_code::key_barred:
        return to::key_barred;
    case statement_code::no_transaction:
        return to::no_transaction;
    case statement_code::rolled_back:
        return to::rolled_back;
    case statement_code::failed:
        break;
    }
    return to::failed;
}

bool was_refused(statement_code code)
{
    return code == statement_code::not_primary ||
           code == statement_code::wrong_term;
}

} // namespace

explorer_client::explorer_client(group_world& world, homes& through)
    : m_world(world),
      m_homes(through),
      m_tokens(sessions)
{
}

void explorer_client::start_write()
{
    auto const home = m_world.random().below(m_homes.size() - m_readers);
    m_states.resize(m_homes.size());
    if (m_homes[home]->writes_paused() ||
        !m_world.random().percent(m_write_percent))
    {
        return;
    }
    auto const number = m_requests.size();
    request value;
    value.m_key = std::string("k").append(std::to_string(number));
    value.m_session = m_world.random().below(sessions);
    value.m_home = home;
    m_requests.push_back(value);
    m_states[home].m_tracker.add_write(
        number, value.m_key, coordination::deadline(state::time_point::max()));
    m_states[home].m_due[number] = {};
}

void explorer_client::give_up()
{
    if (m_requests.empty())
    {
        return;
    }
    auto const number = m_world.random().below(m_requests.size());
    auto& value = m_requests[number];
    auto& held = m_states[value.m_home];
    auto const* const tracked = held.m_tracker.find(number);
    if (value.m_stage != stage::tracked || tracked == nullptr)
    {
        return;
    }
    ++value.m_attempt;
    if (m_world.random().percent(50))
    {
        follow(number, held.m_tracker.connection_lost(number), {});
        return;
    }
    bool const deny =
        m_world.broken() == broken_rule::deny_unanswered &&
        tracked->current_phase() == coordination::keyed_request::phase::sent;
    auto const step =
        held.m_tracker.abandon(number, state::reason::deadline_exceeded);
    held.m_due.erase(number);
    if (deny)
    {
        value.m_stage = stage::ended;
        m_world.checker().told_not_executed(value.m_key);
        return;
    }
    follow(number, step, {});
}

void explorer_client::break_connections()
{
    for (std::uint64_t number = 0; number < m_requests.size(); ++number)
    {
        auto& value = m_requests[number];
        if (value.m_stage == stage::tracked)
        {
            ++value.m_attempt;
            follow(number,
                   m_states[value.m_home].m_tracker.connection_lost(number),
                   {});
        }
    }
}

void explorer_client::ask()
{
    auto const found =
        std::ranges::find(m_requests, stage::unknown, &request::m_stage);
    if (found == m_requests.end())
    {
        return;
    }
    auto const number = static_cast<std::uint64_t>(found - m_requests.begin());
    found->m_home = m_world.random().below(m_homes.size());
    found->m_stage = stage::tracked;
    auto& held = m_states[found->m_home];
    held.m_tracker.add_outcome_query(
        number, found->m_key, coordination::deadline(state::time_point::max()));
    held.m_due[number] = {true, {}};
}

void explorer_client::pump(std::size_t home)
{
    m_states.resize(m_homes.size());
    auto& held = m_states[home];
    if (auto view = view_for_writes(home); view != held.m_seen)
    {
        held.m_seen = view;
        for (auto const& step : held.m_tracker.log_changed(view))
        {
            ++m_requests[step.m_request].m_attempt;
            follow(step.m_request, step.m_step, {});
        }
    }
    send_due(home);
    std::erase_if(held.m_reads,
                  [&](held_read const& read) { return judge(home, read); });
}

void explorer_client::home_lost(std::size_t home)
{
    m_states.resize(m_homes.size());
    m_states[home] = {};
    for (auto& value : m_requests)
    {
        if (value.m_home == home && value.m_stage == stage::tracked)
        {
            ++value.m_attempt;
            value.m_stage = stage::unknown;
        }
    }
}

bool explorer_client::is_open() const
{
    return std::ranges::any_of(m_requests, [](request const& value)
                               { return value.m_stage != stage::ended; });
}

void explorer_client::send_due(std::size_t home)
{
    auto const& primary = m_homes[home]->monitor().primary();
    if (!primary)
    {
        return;
    }
    std::erase_if(m_states[home].m_due,
                  [&](auto const& entry)
                  {
                      auto const& [number, due] = entry;
                      bool const ready =
                          primary->m_term > due.m_above &&
                          (due.m_resolve || !m_homes[home]->writes_paused());
                      if (ready)
                      {
                          send(number, due.m_resolve, *primary);
                      }
                      return ready;
                  });
}

void explorer_client::send(std::uint64_t number, bool resolve,
                           coordination::group_primary const& primary)
{
    auto& value = m_requests[number];
    auto const attempt = ++value.m_attempt;
    bool const resend =
        resolve && m_world.broken() == broken_rule::resend_without_key;
    auto const key =
        resend ? value.m_key + "/" + std::to_string(attempt) : value.m_key;
    value.m_sent_in = primary.m_term;
    m_states[value.m_home].m_tracker.note_sent(number, primary.m_term);
    m_homes[value.m_home]->run_statement(
        m_world.index_of(primary.m_member), resolve ? "resolve" : "write",
        [key, term = primary.m_term,
         asks = resolve && !resend](member_model& model) {
            return asks ? model.resolve(term, key)
                        : model.write(term, key, {effect});
        },
        [this, number, attempt](statement_answer const& answer)
        { answered(number, attempt, answer); });
}

void explorer_client::answered(std::uint64_t number, std::uint64_t attempt,
                               statement_answer const& answer)
{
    auto const& value = m_requests[number];
    if (value.m_stage != stage::tracked || value.m_attempt != attempt)
    {
        return;
    }
    auto const step = m_states[value.m_home].m_tracker.answered(
        number, {to_code(answer.m_code), answer.m_position, answer.m_replayed});
    follow(number, step,
           was_refused(answer.m_code) ? value.m_sent_in : state::term());
}

void explorer_client::follow(std::uint64_t number,
                             coordination::keyed_step const& step,
                             state::term refused)
{
    auto& value = m_requests[number];
    switch (step.m_action)
    {
    case keyed_action::none:
        break;
    case keyed_action::send:
        m_states[value.m_home].m_due[number] = {false, refused};
        break;
    case keyed_action::resolve:
        m_states[value.m_home].m_due[number] = {true, refused};
        break;
    case keyed_action::finish:
        finish(value, step.m_result);
        break;
    }
}

void explorer_client::finish(request& value,
                             coordination::request_result const& result)
{
    if (result.m_outcome == state::outcome::unknown)
    {
        value.m_stage = stage::unknown;
        return;
    }
    value.m_stage = stage::ended;
    if (result.m_outcome == state::outcome::not_executed)
    {
        m_world.checker().told_not_executed(value.m_key);
        return;
    }
    m_world.checker().acknowledged(value.m_key,
                                   m_states[value.m_home].m_seen.m_term,
                                   result.m_position, m_world.now());
    auto& token = m_tokens[value.m_session];
    if (token.m_index < result.m_position.m_index)
    {
        token = result.m_position;
    }
    m_world.trace("acknowledge " + value.m_key + " at " +
                  std::to_string(result.m_position.m_index));
}

coordination::log_view explorer_client::view_for_writes(std::size_t home) const
{
    auto view = m_homes[home]->log();
    if (m_world.broken() == broken_rule::acknowledge_unsafe)
    {
        view.m_safe = no_limit;
    }
    return view;
}

} // namespace camphortide::standin
