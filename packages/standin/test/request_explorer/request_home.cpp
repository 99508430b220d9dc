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

constexpr state::duration unresponsive_timeout{40};

std::size_t index_of(state::member_status const& status)
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

request_home::request_home(request_simulation& simulation, std::size_t index,
                           request_listener& listener)
    : m_simulation(simulation),
      m_index(index),
      m_listener(listener),
      m_samples(simulation.broken() == rule::sample_without_majority
                    ? 1
                    : request_simulation::members),
      m_router(make_read_strategy(strategies[index % strategies.size()]))
{
}

void request_home::start_write(std::uint64_t request, std::string const& key,
                               deadline end)
{
    m_tracker.add_write(request, key, end);
    m_writes[request] = {key, 0, false, true};
    send_write(request);
}

void request_home::start_outcome_query(std::uint64_t request,
                                       std::string const& key, deadline end)
{
    m_tracker.add_outcome_query(request, key, end);
    m_writes[request] = {key, 0, true, true};
    send_write(request);
}

void request_home::probe()
{
    m_samples.note_probe_sent(++m_probe, m_simulation.now());
    for (std::size_t i = 0; i < request_simulation::members; ++i)
    {
        send_request(i,
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
    for (auto& [request, write] : m_writes)
    {
        if (!write.m_pending && m_simulation.percent(40))
        {
            ++write.m_attempt;
            apply_step(request, m_tracker.connection_lost(request));
            return;
        }
    }
    for (auto& [request, read] : m_reads)
    {
        if (!read.m_waiting && !read.m_held)
        {
            ++read.m_attempt;
            continue_read(request,
                          read.m_attempts.failed(read.m_member,
                                                 state::reason::connection_lost,
                                                 m_budget, m_simulation.now()));
            return;
        }
    }
}

void request_home::expire()
{
    for (auto const& step : m_tracker.expire(m_simulation.now()))
    {
        apply_step(step.m_request, step.m_step);
    }
    continue_requests();
}

void request_home::note_status(state::member_status const& status)
{
    m_last_status_at[index_of(status)] = m_simulation.now();
    m_samples.note_status(status);
    m_log.note_status(status);
    for (auto const& step :
         m_tracker.log_changed(log(rule::acknowledge_unsafe)))
    {
        apply_step(step.m_request, step.m_step);
    }
    continue_requests();
}

void request_home::continue_requests()
{
    std::vector<std::uint64_t> pending;
    for (auto const& [request, write] : m_writes)
    {
        if (write.m_pending)
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
    for (auto const& [request, read] : m_reads)
    {
        if (read.m_held || read.m_waiting)
        {
            (read.m_held ? held : waiting).push_back(request);
        }
    }
    for (auto const request : held)
    {
        evaluate_read(request);
    }
    for (auto const request : waiting)
    {
        route(request);
    }
}

void request_home::send_write(std::uint64_t request)
{
    auto const member = primary();
    auto& write = m_writes.at(request);
    if (!member)
    {
        return;
    }
    auto const term = m_log.view().m_term;
    m_tracker.note_sent(request, term);
    write.m_pending = false;
    send_request(
        *member,
        [term, request, key = write.m_key, resolving = write.m_resolving,
         attempt = ++write.m_attempt](member_model& model) -> reply
        {
            auto const answer = resolving
                                    ? model.resolve(term, key)
                                    : model.write(term, key, {"add total 1"});
            return [=](request_home& home)
            {
                home.handle_write_answer(request, attempt, answer);
            };
        });
}

void request_home::handle_write_answer(std::uint64_t request,
                                       std::uint64_t attempt,
                                       statement_answer const& answer)
{
    auto const found = m_writes.find(request);
    if (found == m_writes.end() || found->second.m_attempt != attempt)
    {
        return;
    }
    keyed_answer const value{to_code(answer.m_code), answer.m_position,
                             answer.m_replayed};
    bool const report_not_executed =
        m_simulation.broken() == rule::report_unsafe_barrier_as_not_executed &&
        value.m_code == coordination::statement_code::key_barred;
    if (report_not_executed)
    {
        auto step = m_tracker.abandon(request, state::reason::key_barred);
        step.m_result.m_outcome = state::outcome::not_executed;
        apply_step(request, step);
        return;
    }
    apply_step(request, m_tracker.answered(request, value));
}

void request_home::apply_step(std::uint64_t request, keyed_step const& step)
{
    if (step.m_action == keyed_step::action::none)
    {
        return;
    }
    auto& write = m_writes.at(request);
    write.m_pending = true;
    ++write.m_attempt;
    if (step.m_action == keyed_step::action::resolve)
    {
        bool const resend =
            m_simulation.broken() == rule::resend_with_new_key &&
            !write.m_resolving;
        write.m_resolving = !resend;
        write.m_key += resend ? "'" : "";
    }
    if (step.m_action != keyed_step::action::finish)
    {
        return;
    }
    auto result = step.m_result;
    if (m_simulation.broken() == rule::report_unanswered_as_not_executed &&
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
            return index_of(status);
        }
    }
    return std::nullopt;
}

std::vector<member_view> request_home::member_views() const
{
    std::vector<member_view> result(request_simulation::members);
    for (auto const& status : m_log.statuses())
    {
        auto const index = index_of(status);
        auto& view = result[index];
        view.m_reachable =
            m_simulation.now() - m_last_status_at[index] < unresponsive_timeout;
        view.m_role = status.m_role;
        view.m_applied = status.m_applied.m_index;
        view.m_free_connections = 1;
    }
    return result;
}

log_view request_home::log(broken_request_rule unsafe_rule) const
{
    auto result = m_log.view();
    if (m_simulation.broken() == unsafe_rule)
    {
        result.m_safe = std::numeric_limits<std::uint64_t>::max();
    }
    return result;
}

void request_home::send_request(std::size_t member,
                                std::function<reply(member_model&)> work)
{
    auto run = [&simulation = m_simulation, index = m_index, member,
                self = weak_from_this(), work = std::move(work)]
    {
        simulation.send(index, member,
                        [self, answer = work(simulation.member(member))]
                        {
                            if (auto const home = self.lock())
                            {
                                answer(*home);
                            }
                        });
    };
    m_simulation.send(m_index, member, std::move(run));
}

} // namespace camphortide::standin
