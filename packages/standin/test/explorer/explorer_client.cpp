#include "explorer_client.hpp"

#include <algorithm>
#include <utility>

namespace camphortide::standin
{

namespace
{

constexpr char const* effect = "add n 1";
constexpr char const* query = "get n";

std::uint64_t to_number(std::string const& text)
{
    return text.empty() ? 0 : std::stoull(text);
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
    if (!m_homes[home]->monitor().primary() || m_homes[home]->writes_paused() ||
        !m_world.random().percent(m_write_percent))
    {
        return;
    }
    request value;
    value.m_key = std::string("k").append(std::to_string(m_requests.size()));
    value.m_session = m_world.random().below(sessions);
    value.m_home = home;
    m_requests.push_back(std::move(value));
    attempt(m_requests.size() - 1, false);
}

void explorer_client::start_read()
{
    auto const home = m_world.random().below(m_homes.size());
    auto const session = m_world.random().below(sessions);
    auto const member = m_world.random().below(m_world.size());
    m_homes[home]->run_statement(
        member, "read", [](member_model& model) { return model.read(query); },
        [this, home, session,
         required = m_tokens[session]](statement_answer const& answer)
        { read_answered(home, session, required, answer); });
}

void explorer_client::give_up()
{
    if (m_requests.empty())
    {
        return;
    }
    auto& value = m_requests[m_world.random().below(m_requests.size())];
    if (value.m_stage == stage::sent || value.m_stage == stage::written)
    {
        lose(value);
    }
}

void explorer_client::give_up_all()
{
    for (auto& value : m_requests)
    {
        if (value.m_stage != stage::ended)
        {
            lose(value);
        }
    }
}

void explorer_client::resolve()
{
    auto const found =
        std::ranges::find(m_requests, stage::unknown, &request::m_stage);
    auto const home = m_world.random().below(m_homes.size());
    if (found == m_requests.end() || !m_homes[home]->monitor().primary())
    {
        return;
    }
    found->m_home = home;
    found->m_stage = stage::sent;
    attempt(static_cast<std::size_t>(found - m_requests.begin()), true);
}

void explorer_client::poll(std::size_t home)
{
    auto const& through = *m_homes[home];
    auto const& primary = through.monitor().primary();
    for (auto& value : m_requests)
    {
        if (value.m_home != home || value.m_stage != stage::written)
        {
            continue;
        }
        if (through.is_safe(value.m_term, value.m_position.m_index))
        {
            end(value);
        }
        else if (primary && primary->m_term > value.m_term)
        {
            lose(value);
        }
    }
}

void explorer_client::home_lost(std::size_t home)
{
    for (auto& value : m_requests)
    {
        if (value.m_home == home && value.m_stage != stage::ended)
        {
            lose(value);
        }
    }
}

bool explorer_client::is_open() const
{
    return std::ranges::any_of(m_requests, [](request const& value)
                               { return value.m_stage != stage::ended; });
}

void explorer_client::attempt(std::size_t index, bool resolve)
{
    auto& value = m_requests[index];
    auto& home = *m_homes[value.m_home];
    auto const primary = *home.monitor().primary();
    auto const number = ++value.m_attempt;
    bool const resend =
        resolve && m_world.broken() == broken_rule::resend_without_key;
    auto const key =
        resend ? value.m_key + "/" + std::to_string(number) : value.m_key;
    home.run_statement(
        m_world.index_of(primary.m_member), resolve ? "resolve" : "write",
        [key, term = primary.m_term,
         ask = resolve && !resend](member_model& model) {
            return ask ? model.resolve(term, key)
                       : model.write(term, key, {effect});
        },
        [this, index, number,
         term = primary.m_term](statement_answer const& answer)
        { answered(index, number, term, answer); });
}

void explorer_client::answered(std::size_t index, std::uint64_t attempt,
                               state::term term, statement_answer const& answer)
{
    auto& value = m_requests[index];
    if (value.m_stage != stage::sent || value.m_attempt != attempt)
    {
        return;
    }
    if (answer.m_code == statement_code::ok ||
        answer.m_code == statement_code::key_barred)
    {
        value.m_stage = stage::written;
        value.m_barrier = answer.m_code == statement_code::key_barred;
        value.m_term = term;
        value.m_position = answer.m_position;
        return;
    }
    if (value.m_uncertain)
    {
        value.m_stage = stage::unknown;
        return;
    }
    value.m_stage = stage::ended;
    m_world.checker().told_not_executed(value.m_key);
}

void explorer_client::lose(request& value)
{
    bool const deny = value.m_stage == stage::sent &&
                      m_world.broken() == broken_rule::deny_unanswered;
    ++value.m_attempt;
    value.m_uncertain = true;
    value.m_stage = deny ? stage::ended : stage::unknown;
    if (deny)
    {
        m_world.checker().told_not_executed(value.m_key);
    }
}

void explorer_client::end(request& value)
{
    value.m_stage = stage::ended;
    if (value.m_barrier)
    {
        m_world.checker().told_not_executed(value.m_key);
        return;
    }
    m_world.checker().acknowledged(value.m_key, value.m_term, value.m_position,
                                   m_world.now());
    auto& token = m_tokens[value.m_session];
    token = std::max(token, value.m_position.m_index);
    m_world.trace("acknowledge " + value.m_key + " at " +
                  std::to_string(value.m_position.m_index));
}

void explorer_client::read_answered(std::size_t home, std::size_t session,
                                    std::uint64_t required,
                                    statement_answer const& answer)
{
    auto const& through = *m_homes[home];
    bool const covered = answer.m_position.m_index >= required ||
                         m_world.broken() == broken_rule::ignore_token;
    if (answer.m_code != statement_code::ok || !covered ||
        !may_release(through, answer.m_position))
    {
        return;
    }
    auto const& primary = through.monitor().primary();
    m_world.checker().released(
        primary ? primary->m_term : answer.m_position.m_term, answer.m_position,
        to_number(answer.m_result), required,
        through.fresh_from(answer.m_position.m_index));
    m_tokens[session] = std::max(m_tokens[session], answer.m_position.m_index);
    m_world.trace("release a read at " +
                  std::to_string(answer.m_position.m_index));
}

bool explorer_client::may_release(explorer_home const& home,
                                  state::log_position position) const
{
    if (m_world.broken() == broken_rule::release_unsafe_reads)
    {
        return true;
    }
    auto const& primary = home.monitor().primary();
    if (!primary)
    {
        return false;
    }
    auto const member =
        home.monitor().statuses()[m_world.index_of(primary->m_member)];
    return primary->m_history.contains(position, member.m_received) &&
           home.is_safe(primary->m_term, position.m_index);
}

} // namespace camphortide::standin
