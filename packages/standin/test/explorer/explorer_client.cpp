#include "explorer_client.hpp"

#include <algorithm>
#include <limits>
#include <utility>

namespace camphortide::standin
{

namespace
{

using keyed_action = coordination::keyed_step::action;

constexpr char const* increment_statement = "add n 1";
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

explorer_client::explorer_client(group_simulation& simulation, home_list& homes)
    : m_simulation(simulation),
      m_homes(homes),
      m_tokens(sessions)
{
}

void explorer_client::start_write()
{
    auto const home =
        m_simulation.random().below(m_homes.size() - m_read_only_homes);
    m_home_states.resize(m_homes.size());
    if (m_homes[home]->writes_paused() ||
        !m_simulation.random().percent(m_write_percent))
    {
        return;
    }
    auto const number = m_requests.size();
    request value;
    value.m_key = std::string("k").append(std::to_string(number));
    value.m_session = m_simulation.random().below(sessions);
    value.m_home = home;
    m_requests.push_back(value);
    m_home_states[home].m_tracker.add_write(
        number, value.m_key, coordination::deadline(state::time_point::max()));
    m_home_states[home].m_pending[number] = {};
}

void explorer_client::interrupt_request()
{
    if (m_requests.empty())
    {
        return;
    }
    auto const number = m_simulation.random().below(m_requests.size());
    auto& value = m_requests[number];
    auto& home_data = m_home_states[value.m_home];
    auto const* const tracked = home_data.m_tracker.find(number);
    if (value.m_stage != stage::tracked || tracked == nullptr)
    {
        return;
    }
    ++value.m_attempt;
    if (m_simulation.random().percent(50))
    {
        apply_step(number, home_data.m_tracker.connection_lost(number), {});
        return;
    }
    bool const report_not_executed =
        m_simulation.broken() ==
            broken_rule::report_unanswered_as_not_executed &&
        tracked->current_phase() == coordination::keyed_request::phase::sent;
    auto const step =
        home_data.m_tracker.abandon(number, state::reason::deadline_exceeded);
    home_data.m_pending.erase(number);
    if (report_not_executed)
    {
        value.m_stage = stage::ended;
        m_simulation.checker().note_not_executed(value.m_key);
        return;
    }
    apply_step(number, step, {});
}

void explorer_client::break_connections()
{
    for (std::uint64_t number = 0; number < m_requests.size(); ++number)
    {
        auto& value = m_requests[number];
        if (value.m_stage == stage::tracked)
        {
            ++value.m_attempt;
            apply_step(
                number,
                m_home_states[value.m_home].m_tracker.connection_lost(number),
                {});
        }
    }
}

void explorer_client::query_outcome()
{
    auto const found =
        std::ranges::find(m_requests, stage::unknown, &request::m_stage);
    if (found == m_requests.end())
    {
        return;
    }
    auto const number = static_cast<std::uint64_t>(found - m_requests.begin());
    found->m_home = m_simulation.random().below(m_homes.size());
    found->m_stage = stage::tracked;
    auto& home_data = m_home_states[found->m_home];
    home_data.m_tracker.add_outcome_query(
        number, found->m_key, coordination::deadline(state::time_point::max()));
    home_data.m_pending[number] = {true, {}};
}

void explorer_client::process_home(std::size_t home)
{
    m_home_states.resize(m_homes.size());
    auto& home_data = m_home_states[home];
    if (auto view = view_for_writes(home); view != home_data.m_view)
    {
        home_data.m_view = view;
        for (auto const& step : home_data.m_tracker.log_changed(view))
        {
            ++m_requests[step.m_request].m_attempt;
            apply_step(step.m_request, step.m_step, {});
        }
    }
    send_pending(home);
    std::erase_if(home_data.m_reads, [&](held_read const& read)
                  { return evaluate_read(home, read); });
}

void explorer_client::home_lost(std::size_t home)
{
    m_home_states.resize(m_homes.size());
    m_home_states[home] = {};
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

void explorer_client::send_pending(std::size_t home)
{
    auto const& primary = m_homes[home]->monitor().primary();
    if (!primary)
    {
        return;
    }
    std::erase_if(m_home_states[home].m_pending,
                  [&](auto const& entry)
                  {
                      auto const& [number, pending] = entry;
                      bool const ready =
                          primary->m_term > pending.m_refused_term &&
                          (pending.m_resolve ||
                           !m_homes[home]->writes_paused());
                      if (ready)
                      {
                          send(number, pending.m_resolve, *primary);
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
        resolve && m_simulation.broken() == broken_rule::resend_with_new_key;
    auto const key =
        resend ? value.m_key + "/" + std::to_string(attempt) : value.m_key;
    value.m_sent_term = primary.m_term;
    m_home_states[value.m_home].m_tracker.note_sent(number, primary.m_term);
    m_homes[value.m_home]->send_statement(
        m_simulation.index_of(primary.m_member), resolve ? "resolve" : "write",
        [key, term = primary.m_term,
         is_resolve = resolve && !resend](member_model& model)
        {
            return is_resolve ? model.resolve(term, key)
                              : model.write(term, key, {increment_statement});
        },
        [this, number, attempt](statement_answer const& answer)
        { handle_answer(number, attempt, answer); });
}

void explorer_client::handle_answer(std::uint64_t number, std::uint64_t attempt,
                                    statement_answer const& answer)
{
    auto const& value = m_requests[number];
    if (value.m_stage != stage::tracked || value.m_attempt != attempt)
    {
        return;
    }
    auto const step = m_home_states[value.m_home].m_tracker.answered(
        number, {to_code(answer.m_code), answer.m_position, answer.m_replayed});
    apply_step(number, step,
               was_refused(answer.m_code) ? value.m_sent_term : state::term());
}

void explorer_client::apply_step(std::uint64_t number,
                                 coordination::keyed_step const& step,
                                 state::term refused_term)
{
    auto& value = m_requests[number];
    switch (step.m_action)
    {
    case keyed_action::none:
        break;
    case keyed_action::send:
        m_home_states[value.m_home].m_pending[number] = {false, refused_term};
        break;
    case keyed_action::resolve:
        m_home_states[value.m_home].m_pending[number] = {true, refused_term};
        break;
    case keyed_action::finish:
        finish_request(value, step.m_result);
        break;
    }
}

void explorer_client::finish_request(request& value,
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
        m_simulation.checker().note_not_executed(value.m_key);
        return;
    }
    m_simulation.checker().note_acknowledged(
        value.m_key, m_home_states[value.m_home].m_view.m_term,
        result.m_position, m_simulation.now());
    auto& token = m_tokens[value.m_session];
    if (token.m_index < result.m_position.m_index)
    {
        token = result.m_position;
    }
    m_simulation.trace("acknowledged " + value.m_key + " at " +
                       std::to_string(result.m_position.m_index));
}

coordination::log_view explorer_client::view_for_writes(std::size_t home) const
{
    auto view = m_homes[home]->log();
    if (m_simulation.broken() == broken_rule::acknowledge_unsafe)
    {
        view.m_safe = no_limit;
    }
    return view;
}

} // namespace camphortide::standin
