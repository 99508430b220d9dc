#include <algorithm>
#include <type_traits>
#include <utility>

#include <camphortide/standin/model/manual_clock_group.hpp>

namespace camphortide::standin
{

namespace
{

constexpr state::duration heartbeat{50};
constexpr std::size_t max_records_per_message = 100;

std::string member_name(std::size_t index)
{
    return std::string(1, static_cast<char>('a' + index));
}

} // namespace

manual_clock_group::manual_clock_group(
    std::size_t members, std::size_t monitors, std::uint64_t seed,
    coordination::group_settings const& settings)
    : m_leaving(members),
      m_writes_paused(monitors),
      m_down(members),
      m_last_primary_contact(members),
      m_deferred(monitors)
{
    std::vector<std::string> names;
    for (std::size_t member = 0; member < members; ++member)
    {
        names.push_back(member_name(member));
        m_members.emplace_back(names.back());
    }
    for (std::size_t monitor = 0; monitor < monitors; ++monitor)
    {
        m_monitors.push_back(*coordination::group_monitor_builder()
                                  .proposer("home " + std::to_string(monitor))
                                  .tag(monitor + 1)
                                  .members(names)
                                  .settings(settings)
                                  .seed(seed * 1000 + monitor)
                                  .build());
    }
}

void manual_clock_group::run(state::duration span)
{
    for (auto const end = m_now + span; m_now < end;)
    {
        step();
    }
}

bool manual_clock_group::run_until(std::function<bool()> const& condition,
                                   state::duration limit)
{
    for (auto const end = m_now + limit; m_now < end && !condition();)
    {
        step();
    }
    return condition();
}

void manual_clock_group::kill(std::size_t member, bool unresponsive)
{
    m_down[member] = true;
    if (unresponsive)
    {
        return;
    }
    for (std::size_t monitor = 0; monitor < m_monitors.size(); ++monitor)
    {
        break_connection(monitor, member);
    }
}

void manual_clock_group::break_connection(std::size_t monitor,
                                          std::size_t member)
{
    deliver(monitor,
            [this, monitor, member]
            {
                apply(monitor, m_monitors[monitor].member_unreachable(
                                   member_name(member), m_now));
            });
}

void manual_clock_group::start(std::size_t member)
{
    m_members[member].restart();
    m_down[member] = false;
    m_last_primary_contact[member] = m_now;
}

void manual_clock_group::cut_monitor(std::size_t monitor, std::size_t member,
                                     bool cut)
{
    cut ? (void)m_cut_monitors.insert({monitor, member})
        : (void)m_cut_monitors.erase({monitor, member});
}

void manual_clock_group::cut_members(std::size_t left, std::size_t right,
                                     bool cut)
{
    auto const link = std::minmax(left, right);
    cut ? (void)m_cut_members.insert(link) : (void)m_cut_members.erase(link);
}

void manual_clock_group::pause(std::size_t monitor, bool paused)
{
    if (paused)
    {
        m_paused.insert(monitor);
        return;
    }
    m_paused.erase(monitor);
    for (auto const& task : std::exchange(m_deferred[monitor], {}))
    {
        task();
    }
}

bool manual_clock_group::write(std::size_t monitor, std::string const& key)
{
    auto const primary = m_monitors[monitor].primary();
    if (!primary || m_writes_paused[monitor] ||
        m_down[index_of(primary->m_member)])
    {
        return false;
    }
    auto& target = m_members[index_of(primary->m_member)];
    return target.write(primary->m_term, key, {"add " + key + " 1"}).m_code ==
           statement_code::ok;
}

std::optional<std::size_t> manual_clock_group::current_primary() const
{
    std::optional<std::size_t> latest;
    for (std::size_t member = 0; member < m_members.size(); ++member)
    {
        auto const reported = m_members[member].status();
        if (!m_down[member] && reported.m_role == state::member_role::primary &&
            (!latest ||
             reported.m_granted > m_members[*latest].status().m_granted))
        {
            latest = member;
        }
    }
    return latest;
}

bool manual_clock_group::monitors_agree() const
{
    auto const latest = current_primary();
    if (!latest)
    {
        return false;
    }
    auto const term = m_members[*latest].status().m_granted;
    for (std::size_t monitor = 0; monitor < m_monitors.size(); ++monitor)
    {
        auto const& primary = m_monitors[monitor].primary();
        bool const runs =
            !m_ended.contains(monitor) && !m_paused.contains(monitor);
        if (runs && (!primary || primary->m_term != term))
        {
            return false;
        }
    }
    return true;
}

std::uint64_t manual_clock_group::promotions() const
{
    std::uint64_t count = 0;
    for (auto const& monitor : m_monitors)
    {
        count += monitor.promotions();
    }
    return count;
}

void manual_clock_group::apply(std::size_t monitor,
                               coordination::group_actions const& actions)
{
    for (auto const& action : actions)
    {
        std::visit([&](auto const& value) { perform(monitor, value); }, action);
    }
}

void manual_clock_group::step()
{
    m_now += state::duration(1);
    while (!m_events.empty() && m_events.begin()->first <= m_now)
    {
        auto event = m_events.extract(m_events.begin());
        event.mapped()();
    }
    replicate();
    record_primaries();
    constexpr state::clock::rep tick_interval = 5;
    for (std::size_t monitor = 0; monitor < m_monitors.size(); ++monitor)
    {
        auto const phase = m_now.time_since_epoch().count() +
                           static_cast<state::clock::rep>(monitor) * 2;
        if (phase % tick_interval == 0 && !m_paused.contains(monitor) &&
            !m_ended.contains(monitor))
        {
            apply(monitor, m_monitors[monitor].tick(m_now));
        }
    }
}

void manual_clock_group::record_primaries()
{
    for (std::size_t member = 0; member < m_members.size(); ++member)
    {
        if (m_members[member].role() == state::member_role::primary)
        {
            auto const [found, is_new] =
                m_primaries.try_emplace(m_members[member].followed(), member);
            m_one_primary_per_term &= is_new || found->second == member;
        }
    }
}

void manual_clock_group::replicate()
{
    for (std::size_t from = 0; from < m_members.size(); ++from)
    {
        if (m_down[from] ||
            m_members[from].status().m_role != state::member_role::primary)
        {
            continue;
        }
        m_last_primary_contact[from] = m_now;
        for (std::size_t to = 0; to < m_members.size(); ++to)
        {
            if (to != from && !m_down[to] &&
                !m_cut_members.contains(std::minmax(from, to)))
            {
                replicate_to(from, to);
            }
        }
    }
}

void manual_clock_group::replicate_to(std::size_t from, std::size_t to)
{
    auto& target = m_members[to];
    auto const& source = m_members[from];
    bool const behind =
        target.log().size() != source.log().size() ||
        target.status().m_received != source.status().m_received;
    bool const due = m_now.time_since_epoch() % heartbeat == state::duration(0);
    if (!due && !(m_replicating && behind))
    {
        return;
    }
    auto const message =
        source.replicate(m_replicating ? target.log().size() : 0,
                         m_replicating ? max_records_per_message : 0);
    if (message && target.receive(*message))
    {
        m_last_primary_contact[to] = m_now;
        target.apply_to(target.log().size());
    }
}

void manual_clock_group::deliver(std::size_t monitor,
                                 std::function<void()> task)
{
    m_events.emplace(m_now + m_latency,
                     [this, monitor, task = std::move(task)]
                     {
                         if (m_ended.contains(monitor))
                         {
                             return;
                         }
                         m_paused.contains(monitor)
                             ? m_deferred[monitor].push_back(task)
                             : task();
                     });
}

state::member_status manual_clock_group::status(std::size_t member,
                                                std::uint64_t probe) const
{
    auto result = m_members[member].status();
    result.m_primary_silence = m_now - m_last_primary_contact[member];
    result.m_leaving = m_leaving[member];
    result.m_probe = probe;
    return result;
}

void manual_clock_group::push_status(std::size_t member)
{
    auto const reported = status(member, 0);
    for (std::size_t monitor = 0; monitor < m_monitors.size(); ++monitor)
    {
        if (reachable(monitor, member))
        {
            deliver(monitor,
                    [this, monitor, reported] {
                        apply(monitor, m_monitors[monitor].status_received(
                                           reported, m_now));
                    });
        }
    }
}

std::size_t manual_clock_group::index_of(std::string const& member) const
{
    return static_cast<std::size_t>(member.front() - 'a');
}

bool manual_clock_group::reachable(std::size_t monitor,
                                   std::size_t member) const
{
    return !m_down[member] && !m_cut_monitors.contains({monitor, member});
}

template <class Request>
void manual_clock_group::perform(std::size_t monitor, Request const& action)
{
    if constexpr (std::is_same_v<Request, coordination::pause_writes>)
    {
        m_writes_paused[monitor] = true;
        if (m_drain_immediately)
        {
            deliver(
                monitor, [this, monitor]
                { apply(monitor, m_monitors[monitor].writes_drained(m_now)); });
        }
    }
    else if constexpr (std::is_same_v<Request, coordination::resume_writes>)
    {
        m_writes_paused[monitor] = false;
    }
    else if constexpr (std::is_same_v<Request, coordination::switchover_ended>)
    {
        m_ended_switchovers.push_back(action);
    }
    else if constexpr (!std::is_same_v<Request, coordination::primary_changed>)
    {
        if (m_drop_request && m_drop_request(monitor, action))
        {
            return;
        }
        m_events.emplace(m_now + m_latency,
                         [this, monitor, action]
                         {
                             auto const member = index_of(action.m_member);
                             if (reachable(monitor, member))
                             {
                                 handle(monitor, member, action);
                             }
                         });
    }
}

void manual_clock_group::handle(std::size_t monitor, std::size_t member,
                                coordination::send_probe const& action)
{
    auto const reported = status(member, action.m_probe);
    if (!m_drop_reply || !m_drop_reply(monitor, action))
    {
        deliver(monitor,
                [this, monitor, reported] {
                    apply(monitor,
                          m_monitors[monitor].status_received(reported, m_now));
                });
    }
}

void manual_clock_group::handle(std::size_t monitor, std::size_t member,
                                coordination::send_fence const& action)
{
    bool const granted =
        m_members[member].fence(action.m_term, action.m_proposer);
    push_status(member);
    auto const reported = status(member, 0);
    if (!m_drop_reply || !m_drop_reply(monitor, action))
    {
        deliver(monitor,
                [this, monitor, reported, granted, term = action.m_term]
                {
                    apply(monitor, m_monitors[monitor].fence_replied(
                                       term, granted, reported, m_now));
                });
    }
}

void manual_clock_group::handle(std::size_t monitor, std::size_t member,
                                coordination::send_promote const& action)
{
    bool const done =
        m_members[member].promote(action.m_term, action.m_proposer);
    push_status(member);
    auto const reported = status(member, 0);
    if (!m_drop_reply || !m_drop_reply(monitor, action))
    {
        deliver(monitor,
                [this, monitor, reported, done, term = action.m_term]
                {
                    apply(monitor, m_monitors[monitor].promote_replied(
                                       term, done, reported, m_now));
                });
    }
}

void manual_clock_group::handle(std::size_t monitor, std::size_t member,
                                coordination::send_follow const& action)
{
    m_members[member].follow(action.m_term, action.m_primary);
    push_status(member);
    auto const reported = status(member, 0);
    if (!m_drop_reply || !m_drop_reply(monitor, action))
    {
        deliver(monitor,
                [this, monitor, reported] {
                    apply(monitor,
                          m_monitors[monitor].follow_replied(reported, m_now));
                });
    }
}

} // namespace camphortide::standin
