#include "explorer_home.hpp"

#include <algorithm>
#include <utility>

#include <camphortide/coordination/group/group_monitor_builder.hpp>

namespace camphortide::standin
{

namespace
{

coordination::group_settings short_waits()
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

explorer_home::explorer_home(group_world& world, std::size_t index)
    : m_world(world),
      m_index(index)
{
    restart();
}

void explorer_home::tick()
{
    apply(m_monitor->tick(m_world.now()));
}

void explorer_home::restart()
{
    ++m_generation;
    m_monitor = *coordination::group_monitor_builder()
                     .proposer(std::to_string(m_index) + "." +
                               std::to_string(m_generation))
                     .tag(m_index + 1)
                     .members(m_world.names())
                     .settings(short_waits())
                     .seed(m_world.random().below(1U << 20U))
                     .build();
    m_writes_paused = false;
    m_last_probe = 0;
    m_log.emplace(m_world.size());
    m_samples.emplace(m_world.size());
}

void explorer_home::request_switchover()
{
    apply(m_monitor->request_switchover({}, m_world.now()));
}

void explorer_home::drain()
{
    if (m_writes_paused)
    {
        apply(m_monitor->writes_drained(m_world.now()));
    }
}

void explorer_home::run_statement(std::size_t member, char const* name,
                                  statement run, answer replied)
{
    auto const work =
        [this, member, name, run = std::move(run), replied = std::move(replied)]
    {
        auto const result = run(m_world.member(member));
        auto const status = m_world.status(member, 0);
        reply(
            member, name,
            [this, result, status, replied]
            {
                auto actions =
                    m_monitor->status_received(status, m_world.now());
                note_status(status);
                replied(result);
                return actions;
            },
            false);
    };
    request(member, name, work, false);
}

void explorer_home::apply(coordination::group_actions const& actions)
{
    for (auto const& action : actions)
    {
        std::visit([this](auto const& value) { act(value); }, action);
    }
}

void explorer_home::act(coordination::send_probe const& action)
{
    auto const member = m_world.index_of(action.m_member);
    if (m_last_probe != action.m_probe)
    {
        m_last_probe = action.m_probe;
        m_samples->note_probe_sent(action.m_probe, m_world.now());
    }
    auto const probe = action.m_probe;
    request(member, "probe",
            [this, member, probe]
            {
                auto const status = m_world.status(member, probe);
                reply(member, "probe reply",
                      [this, status]
                      {
                          note_status(status);
                          return m_monitor->status_received(status,
                                                            m_world.now());
                      });
            });
}

void explorer_home::act(coordination::send_fence const& action)
{
    auto const member = m_world.index_of(action.m_member);
    request(member, "fence",
            [this, member, action]
            {
                auto const broken = m_world.broken();
                bool granted = true;
                if (broken != broken_rule::skip_fences)
                {
                    granted = m_world.member(member).fence(action.m_term,
                                                           action.m_proposer);
                }
                auto status = m_world.status(member, 0);
                if (broken == broken_rule::skip_fences)
                {
                    status.m_granted = action.m_term;
                }
                if (broken == broken_rule::promote_any)
                {
                    status.m_received.m_term =
                        state::term(m_world.random().below(1000));
                }
                reply(member, "fence reply",
                      [this, granted, status, term = action.m_term] {
                          return m_monitor->fence_replied(term, granted, status,
                                                          m_world.now());
                      });
            });
}

void explorer_home::act(coordination::send_promote const& action)
{
    auto const member = m_world.broken() == broken_rule::promote_again
                            ? m_world.random().below(m_world.size())
                            : m_world.index_of(action.m_member);
    request(member, "promote",
            [this, member, action]
            {
                auto& model = m_world.member(member);
                if (m_world.broken() == broken_rule::skip_fences)
                {
                    model.fence(action.m_term, action.m_proposer);
                }
                bool const done =
                    model.promote(action.m_term, action.m_proposer);
                auto const status = m_world.status(member, 0);
                reply(member, "promote reply",
                      [this, done, status, term = action.m_term] {
                          return m_monitor->promote_replied(term, done, status,
                                                            m_world.now());
                      });
            });
}

void explorer_home::act(coordination::send_follow const& action)
{
    auto const member = m_world.index_of(action.m_member);
    request(
        member, "follow",
        [this, member, action]
        {
            m_world.member(member).follow(action.m_term, action.m_primary);
            auto const status = m_world.status(member, 0);
            reply(member, "follow reply",
                  [this, status]
                  { return m_monitor->follow_replied(status, m_world.now()); });
        });
}

void explorer_home::act(coordination::pause_writes const&)
{
    m_writes_paused = true;
}

void explorer_home::act(coordination::resume_writes const&)
{
    m_writes_paused = false;
}

void explorer_home::request(std::size_t member, char const* name,
                            std::function<void()> work, bool may_repeat)
{
    auto const deliver =
        [this, generation = m_generation, work = std::move(work)]
    {
        m_asking_generation = generation;
        work();
    };
    m_world.send(
        {self(), {party::kind::member, member}, name, may_repeat, deliver});
}

void explorer_home::reply(std::size_t member, char const* name,
                          std::function<coordination::group_actions()> work,
                          bool may_repeat)
{
    auto const deliver =
        [this, generation = m_asking_generation, work = std::move(work)]
    {
        if (generation == m_generation)
        {
            apply(work());
        }
    };
    m_world.send(
        {{party::kind::member, member}, self(), name, may_repeat, deliver});
}

void explorer_home::note_status(state::member_status const& status)
{
    m_samples->note_status(status);
    m_log->note_status(for_log(status));
    if (m_world.broken() == broken_rule::sample_alone &&
        status.m_role == state::member_role::primary)
    {
        note_as_majority(status);
    }
}

void explorer_home::note_as_majority(state::member_status const& status)
{
    auto forged = status;
    forged.m_role = state::member_role::replica;
    for (auto const& name : m_world.names())
    {
        forged.m_member = name;
        if (name != status.m_member)
        {
            m_samples->note_status(forged);
        }
    }
}

state::member_status explorer_home::for_log(state::member_status status) const
{
    if (m_world.broken() == broken_rule::count_old_terms &&
        status.m_role != state::member_role::primary)
    {
        status.m_granted = m_log->view().m_term;
        status.m_received.m_term = m_log->view().m_term;
    }
    return status;
}

} // namespace camphortide::standin
