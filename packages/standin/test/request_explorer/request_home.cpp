#include "request_home.hpp"

#include <array>
#include <limits>
#include <utility>

namespace camphortide::standin
{

namespace
{

using namespace coordination;
using rule = broken_request_rule;

constexpr std::array strategies{"covering_replica", "random_replica"};

constexpr state::duration longest_silence{40};

std::size_t place_of(state::member_status const& status)
{
    return static_cast<std::size_t>(status.m_member[0] - 'a');
}

coordination::statement_code to_code(statement_code code)
{
    using target = coordination::statement_code;
    constexpr target codes[]{target::ok,         target::not_primary,
                             target::wrong_term, target::key_barred,
                             target::failed,     target::no_transaction,
                             target::rolled_back};
    return codes[static_cast<std::size_t>(code)];
}

} // namespace

request_home::request_home(request_world& world, std::size_t place,
                           request_listener& listener)
    : m_world(world),
      m_place(place),
      m_listener(listener),
      m_samples(world.broken() == rule::sample_alone ? 1
                                                     : request_world::members),
      m_router(make_read_strategy(strategies[place % strategies.size()]))
{
}

void request_home::start_write(std::uint64_t request, std::string const& key,
                               deadline end)
{
    m_tracker.add_write(request, key, end);
    m_writes[request] = {key, 0, false, true};
    send_write(request);
}

void request_home::start_question(std::uint64_t request, std::string const& key,
                                  deadline end)
{
    m_tracker.add_outcome_query(request, key, end);
    m_writes[request] = {key, 0, true, true};
    send_write(request);
}

void request_home::probe()
{
    m_samples.note_probe_sent(++m_probe, m_world.now());
    for (std::size_t i = 0; i < request_world::members; ++i)
    {
        ask(i,
            [number = m_probe](member_model& member) -> reply
            {
                auto status = member.status();
                status.m_probe = number;
                return [status](request_home& home)
                {
                    home.note_status(status);
                };
            });
    }
}

void request_home::lose_connection()
{
    for (auto& [request, work] : m_writes)
    {
        if (!work.m_pending && m_world.percent(40))
        {
            ++work.m_attempt;
            apply(request, m_tracker.connection_lost(request));
            return;
        }
    }
    for (auto& [request, work] : m_reads)
    {
        if (!work.m_waits && !work.m_held)
        {
            ++work.m_attempt;
            go_on(request, work.m_attempts.failed(
                               work.m_member, state::reason::connection_lost,
                               m_budget, m_world.now()));
            return;
        }
    }
}

void request_home::expire()
{
    for (auto const& step : m_tracker.expire(m_world.now()))
    {
        apply(step.m_request, step.m_step);
    }
    advance();
}

void request_home::note_status(state::member_status const& status)
{
    m_heard[place_of(status)] = m_world.now();
    m_samples.note_status(status);
    m_log.note_status(status);
    for (auto const& step :
         m_tracker.log_changed(log(rule::acknowledge_unsafe)))
    {
        apply(step.m_request, step.m_step);
    }
    advance();
}

void request_home::advance()
{
    std::vector<std::uint64_t> pending;
    for (auto const& [request, work] : m_writes)
    {
        if (work.m_pending)
        {
            pending.push_back(request);
        }
    }
    for (auto const request : pending)
    {
        send_write(request);
    }
    std::vector<std::uint64_t> held;
    std::vector<std::uint64_t> waiting;
    for (auto const& [request, work] : m_reads)
    {
        if (work.m_held || work.m_waits)
        {
            (work.m_held ? held : waiting).push_back(request);
        }
    }
    for (auto const request : held)
    {
        check(request);
    }
    for (auto const request : waiting)
    {
        route(request);
    }
}

void request_home::send_write(std::uint64_t request)
{
    auto const member = primary();
    auto& work = m_writes.at(request);
    if (!member)
    {
        return;
    }
    auto const term = m_log.view().m_term;
    m_tracker.note_sent(request, term);
    work.m_pending = false;
    ask(*member,
        [term, request, key = work.m_key, resolving = work.m_resolving,
         attempt = ++work.m_attempt](member_model& model) -> reply
        {
            auto const answer = resolving
                                    ? model.resolve(term, key)
                                    : model.write(term, key, {"add total 1"});
            return [=](request_home& home)
            {
                home.write_answered(request, attempt, answer);
            };
        });
}

void request_home::write_answered(std::uint64_t request, std::uint64_t attempt,
                                  statement_answer const& answer)
{
    auto const found = m_writes.find(request);
    if (found == m_writes.end() || found->second.m_attempt != attempt)
    {
        return;
    }
    keyed_answer const value{to_code(answer.m_code), answer.m_position,
                             answer.m_replayed};
    bool const denied =
        m_world.broken() == rule::deny_unsafe_barrier &&
        value.m_code == coordination::statement_code::key_barred;
    if (denied)
    {
        auto step = m_tracker.abandon(request, state::reason::key_barred);
        step.m_result.m_outcome = state::outcome::not_executed;
        apply(request, step);
        return;
    }
    apply(request, m_tracker.answered(request, value));
}

void request_home::apply(std::uint64_t request, keyed_step const& step)
{
    if (step.m_action == keyed_step::action::none)
    {
        return;
    }
    auto& work = m_writes.at(request);
    work.m_pending = true;
    ++work.m_attempt;
    if (step.m_action == keyed_step::action::resolve)
    {
        bool const again =
            m_world.broken() == rule::send_again && !work.m_resolving;
        work.m_resolving = !again;
        work.m_key += again ? "'" : "";
    }
    if (step.m_action != keyed_step::action::finish)
    {
        return;
    }
    auto result = step.m_result;
    if (m_world.broken() == rule::deny_unanswered &&
        result.m_outcome == state::outcome::unknown)
    {
        result.m_outcome = state::outcome::not_executed;
    }
    m_writes.erase(request);
    m_listener.write_ended(request, result);
}

std::optional<std::size_t> request_home::primary() const
{
    for (auto const& status : m_log.statuses())
    {
        if (status.m_role == state::member_role::primary &&
            status.m_followed == m_log.view().m_term)
        {
            return place_of(status);
        }
    }
    return std::nullopt;
}

std::vector<member_view> request_home::views() const
{
    std::vector<member_view> result(request_world::members);
    for (auto const& status : m_log.statuses())
    {
        auto const place = place_of(status);
        auto& view = result[place];
        view.m_reachable = m_world.now() - m_heard[place] < longest_silence;
        view.m_role = status.m_role;
        view.m_applied = status.m_applied.m_index;
        view.m_free_connections = 1;
    }
    return result;
}

log_view request_home::log(broken_request_rule all_safe) const
{
    auto result = m_log.view();
    if (m_world.broken() == all_safe)
    {
        result.m_safe = std::numeric_limits<std::uint64_t>::max();
    }
    return result;
}

void request_home::ask(std::size_t member,
                       std::function<reply(member_model&)> work)
{
    auto run = [&world = m_world, place = m_place, member,
                self = weak_from_this(), work = std::move(work)]
    {
        world.send(place, member,
                   [self, answer = work(world.member(member))]
                   {
                       if (auto const alive = self.lock())
                       {
                           answer(*alive);
                       }
                   });
    };
    m_world.send(m_place, member, std::move(run));
}

} // namespace camphortide::standin
