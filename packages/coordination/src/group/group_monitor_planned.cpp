#include <algorithm>
#include <utility>

#include <camphortide/coordination/group/group_monitor.hpp>

namespace camphortide::coordination
{

void group_monitor::start_switchover(std::string target, state::time_point now,
                                     group_actions& out)
{
    m_switchover.emplace(*m_announced, std::move(target),
                         now + m_settings.m_switchover_timeout);
    m_switchover_not_before = now + m_settings.m_switchover_interval;
    m_probe_at = now;
    out.emplace_back(pause_writes{});
}

void group_monitor::advance_switchover(state::time_point now,
                                       group_actions& out)
{
    if (!m_switchover)
    {
        return;
    }
    if (m_switchover->superseded(m_view) && !m_promotion)
    {
        auto const primary = m_view.primary_index();
        bool const ours =
            primary && m_view.statuses()[*primary].m_granted == m_last_proposed;
        end_switchover(ours ? switchover_result::done : switchover_result::lost,
                       out);
        return;
    }
    if (m_switchover->expired(now))
    {
        end_switchover(switchover_result::timed_out, out);
        return;
    }
    if (m_promotion)
    {
        return;
    }
    if (auto target = m_switchover->ready(m_view))
    {
        start_promotion({std::move(*target), std::nullopt}, now, out);
    }
}

void group_monitor::end_switchover(switchover_result result, group_actions& out)
{
    m_switchover.reset();
    announce(out);
    out.emplace_back(resume_writes{});
    out.emplace_back(switchover_ended{
        result, m_announced ? m_announced->m_member : std::string()});
}

std::optional<std::string>
group_monitor::required_switchover(state::time_point now) const
{
    auto const primary = m_view.primary_index();
    if (!primary || m_promotion || m_switchover ||
        now < m_switchover_not_before)
    {
        return std::nullopt;
    }
    auto const statuses = m_view.statuses();
    auto const& leader = statuses[*primary];
    bool repair = false;
    bool replica_stays = false;
    for (std::size_t member = 0; member < statuses.size(); ++member)
    {
        bool const answers =
            m_view.answers(member, now, m_settings.m_freshness);
        repair |= answers && statuses[member].m_granted > leader.m_granted;
        replica_stays |=
            answers && member != *primary && !statuses[member].m_leaving;
    }
    if (leader.m_leaving && replica_stays)
    {
        return std::string();
    }
    return repair ? std::optional(leader.m_member) : std::nullopt;
}

void group_monitor::start_required_switchover(state::time_point now,
                                              group_actions& out)
{
    auto target = required_switchover(now);
    if (!target)
    {
        m_switchover_at.reset();
        return;
    }
    if (!m_switchover_at)
    {
        auto const wait =
            target->empty() ? m_settings.m_settle : m_settings.m_repair_delay;
        m_switchover_at = now + wait + m_jitter.draw(m_settings.m_jitter);
    }
    if (now >= *m_switchover_at)
    {
        m_switchover_at.reset();
        start_switchover(std::move(*target), now, out);
    }
}

void group_monitor::send_follow_requests(state::time_point now,
                                         group_actions& out)
{
    auto const primary = m_view.primary_index();
    if (!primary || m_promotion || now < m_follow_at)
    {
        return;
    }
    m_follow_at = now + m_settings.m_retry_interval;
    auto const statuses = m_view.statuses();
    auto const& leader = statuses[*primary];
    for (std::size_t member = 0; member < statuses.size(); ++member)
    {
        auto const& status = statuses[member];
        bool const detached = status.m_followed < leader.m_granted ||
                              status.m_role == state::member_role::fenced;
        if (member != *primary && detached &&
            status.m_granted <= leader.m_granted &&
            m_view.contact(member).m_known &&
            !m_view.contact(member).m_disconnected)
        {
            out.emplace_back(send_follow{status.m_member, leader.m_granted,
                                         m_proposer, leader.m_member});
        }
    }
}

} // namespace camphortide::coordination
