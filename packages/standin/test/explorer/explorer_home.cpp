#include "explorer_home.hpp"

#include <algorithm>
#include <utility>

#include <camphortide/coordination/group/group_monitor_builder.hpp>

namespace camphortide::standin
{

namespace
{

coordination::group_settings short_timeouts()
{
    using state::duration;
    coordination::group_settings settings;
    settings.m_probe_interval = duration(8);
    settings.m_fast_probe_interval = duration(5);
    settings.m_suspicion = duration(25);
    settings.m_isolation = duration(60);
    settings.m_freshness = duration(30);
    settings.m_settle = duration(2);
    settings.m_jitter = duration(8);
    settings.m_pause_limit = duration(40);
    settings.m_retry_interval = duration(8);
    settings.m_promotion_timeout = duration(40);
    settings.m_gather = duration(3);
    settings.m_backoff = duration(4);
    settings.m_backoff_limit = duration(20);
    settings.m_switchover_timeout = duration(60);
    settings.m_switchover_interval = duration(60);
    settings.m_repair_delay = duration(30);
    return settings;
}

} // namespace

explorer_home::explorer_home(group_simulation& simulation, std::size_t index)
    : m_simulation(simulation),
      m_index(index)
{
    restart();
}

void explorer_home::tick()
{
    execute_all(m_monitor->tick(m_simulation.now()));
}

void explorer_home::restart()
{
    ++m_incarnation;
    m_monitor = *coordination::group_monitor_builder()
                     .proposer(std::to_string(m_index) + "." +
                               std::to_string(m_incarnation))
                     .tag(m_index + 1)
                     .members(m_simulation.member_names())
                     .settings(short_timeouts())
                     .seed(m_simulation.random().below(1U << 20U))
                     .build();
    m_writes_paused = false;
    m_last_probe = 0;
    m_log.emplace(m_simulation.size());
    m_samples.emplace(m_simulation.size());
}

void explorer_home::request_switchover()
{
    execute_all(m_monitor->request_switchover({}, m_simulation.now()));
}

void explorer_home::report_drained()
{
    if (m_writes_paused)
    {
        execute_all(m_monitor->writes_drained(m_simulation.now()));
    }
}

void explorer_home::send_statement(std::size_t member, char const* name,
                                   statement run, answer_handler on_answer)
{
    auto const work = [this, member, name, run = std::move(run),
                       on_answer = std::move(on_answer)]
    {
        auto const result = run(m_simulation.member(member));
        auto const status = m_simulation.status(member, 0);
        send_reply(
            member, name,
            [this, result, status, on_answer]
            {
                auto actions =
                    m_monitor->status_received(status, m_simulation.now());
                note_status(status);
                on_answer(result);
                return actions;
            },
            false);
    };
    send_request(member, name, work, false);
}

void explorer_home::execute_all(coordination::group_actions const& actions)
{
    for (auto const& action : actions)
    {
        std::visit([this](auto const& value) { execute(value); }, action);
    }
}

void explorer_home::execute(coordination::send_probe const& action)
{
    auto const member = m_simulation.index_of(action.m_member);
    if (m_last_probe != action.m_probe)
    {
        m_last_probe = action.m_probe;
        m_samples->note_probe_sent(action.m_probe, m_simulation.now());
    }
    auto const probe = action.m_probe;
    send_request(member, "probe",
                 [this, member, probe]
                 {
                     auto const status = m_simulation.status(member, probe);
                     send_reply(member, "probe reply",
                                [this, status]
                                {
                                    note_status(status);
                                    return m_monitor->status_received(
                                        status, m_simulation.now());
                                });
                 });
}

void explorer_home::execute(coordination::send_fence const& action)
{
    auto const member = m_simulation.index_of(action.m_member);
    send_request(member, "fence",
                 [this, member, action]
                 {
                     auto const broken = m_simulation.broken();
                     bool granted = true;
                     if (broken != broken_rule::skip_fences)
                     {
                         granted = m_simulation.member(member).fence(
                             action.m_term, action.m_proposer);
                     }
                     auto status = m_simulation.status(member, 0);
                     if (broken == broken_rule::skip_fences)
                     {
                         status.m_granted = action.m_term;
                     }
                     if (broken == broken_rule::ignore_log_positions)
                     {
                         status.m_received.m_term =
                             state::term(m_simulation.random().below(1000));
                     }
                     send_reply(member, "fence reply",
                                [this, granted, status, term = action.m_term]
                                {
                                    return m_monitor->fence_replied(
                                        term, granted, status,
                                        m_simulation.now());
                                });
                 });
}

void explorer_home::execute(coordination::send_promote const& action)
{
    auto const member =
        m_simulation.broken() == broken_rule::promote_random_member
            ? m_simulation.random().below(m_simulation.size())
            : m_simulation.index_of(action.m_member);
    send_request(member, "promote",
                 [this, member, action]
                 {
                     auto& model = m_simulation.member(member);
                     if (m_simulation.broken() == broken_rule::skip_fences)
                     {
                         model.fence(action.m_term, action.m_proposer);
                     }
                     bool const promoted =
                         model.promote(action.m_term, action.m_proposer);
                     auto const status = m_simulation.status(member, 0);
                     send_reply(member, "promote reply",
                                [this, promoted, status, term = action.m_term]
                                {
                                    return m_monitor->promote_replied(
                                        term, promoted, status,
                                        m_simulation.now());
                                });
                 });
}

void explorer_home::execute(coordination::send_follow const& action)
{
    auto const member = m_simulation.index_of(action.m_member);
    send_request(member, "follow",
                 [this, member, action]
                 {
                     m_simulation.member(member).follow(action.m_term,
                                                        action.m_primary);
                     auto const status = m_simulation.status(member, 0);
                     send_reply(member, "follow reply",
                                [this, status] {
                                    return m_monitor->follow_replied(
                                        status, m_simulation.now());
                                });
                 });
}

void explorer_home::execute(coordination::pause_writes const&)
{
    m_writes_paused = true;
}

void explorer_home::execute(coordination::resume_writes const&)
{
    m_writes_paused = false;
}

void explorer_home::send_request(std::size_t member, char const* name,
                                 std::function<void()> work, bool may_duplicate)
{
    auto const deliver =
        [this, incarnation = m_incarnation, work = std::move(work)]
    {
        m_request_incarnation = incarnation;
        work();
    };
    m_simulation.send({self(),
                       {node_id::kind::member, member},
                       name,
                       may_duplicate,
                       deliver});
}

void explorer_home::send_reply(
    std::size_t member, char const* name,
    std::function<coordination::group_actions()> work, bool may_duplicate)
{
    auto const deliver =
        [this, incarnation = m_request_incarnation, work = std::move(work)]
    {
        if (incarnation == m_incarnation)
        {
            execute_all(work());
        }
    };
    m_simulation.send({{node_id::kind::member, member},
                       self(),
                       name,
                       may_duplicate,
                       deliver});
}

void explorer_home::note_status(state::member_status const& status)
{
    m_samples->note_status(status);
    m_log->note_status(log_status(status));
    if (m_simulation.broken() == broken_rule::sample_without_majority &&
        status.m_role == state::member_role::primary)
    {
        note_for_all_members(status);
    }
}

void explorer_home::note_for_all_members(state::member_status const& status)
{
    auto fabricated = status;
    fabricated.m_role = state::member_role::replica;
    for (auto const& name : m_simulation.member_names())
    {
        fabricated.m_member = name;
        if (name != status.m_member)
        {
            m_samples->note_status(fabricated);
        }
    }
}

state::member_status
explorer_home::log_status(state::member_status status) const
{
    if (m_simulation.broken() == broken_rule::count_copies_of_old_terms &&
        status.m_role != state::member_role::primary)
    {
        status.m_granted = m_log->view().m_term;
        status.m_received.m_term = m_log->view().m_term;
    }
    return status;
}

} // namespace camphortide::standin
