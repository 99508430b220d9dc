#include <algorithm>

#include <camphortide/coordination/group/failure_detector.hpp>

namespace camphortide::coordination
{

failure_detector::failure_detector(group_settings const& settings,
                                   std::uint64_t seed)
    : m_settings(settings),
      m_jitter(seed),
      m_next_backoff(settings.m_backoff)
{
}

primary_health failure_detector::assess(group_view const& view,
                                        state::time_point now) const
{
    auto const primary = view.primary_index();
    if (!primary)
    {
        return has_no_leader(view, now) ||
                       majority_lost_primary(view, now, m_settings.m_suspicion)
                   ? primary_health::failed
                   : primary_health::suspected;
    }
    if (majority_lost_primary(view, now, timeout_for(view, *primary, now)))
    {
        return primary_health::failed;
    }
    auto const silence = view.silence(*primary, now);
    bool const answered = !view.contact(*primary).m_disconnected &&
                          silence < m_settings.m_suspicion &&
                          silence <= m_settings.m_probe_interval * 2;
    return answered ? primary_health::alive : primary_health::suspected;
}

bool failure_detector::should_promote(group_view const& view,
                                      state::time_point now)
{
    store_primary(view);
    if (assess(view, now) != primary_health::failed)
    {
        m_start_at.reset();
        return false;
    }
    auto const granted = view.highest_granted();
    if (!m_start_at || granted != m_seen_granted)
    {
        m_start_at =
            now + m_settings.m_settle + m_jitter.draw(m_settings.m_jitter);
        m_seen_granted = granted;
    }
    return now >= *m_start_at && now >= m_not_before;
}

void failure_detector::restart()
{
    m_start_at.reset();
}

void failure_detector::back_off(state::time_point now)
{
    m_start_at.reset();
    m_not_before = now + m_jitter.draw(m_next_backoff);
    m_next_backoff = std::min(m_next_backoff * 2, m_settings.m_backoff_limit);
}

void failure_detector::reset_backoff()
{
    m_start_at.reset();
    m_next_backoff = m_settings.m_backoff;
}

state::duration failure_detector::timeout_for(group_view const& view,
                                              std::size_t primary,
                                              state::time_point now) const
{
    if (view.contact(primary).m_disconnected)
    {
        return std::min(m_settings.m_broken_suspicion, m_settings.m_suspicion);
    }
    bool const late = view.silence(primary, now) >= m_settings.m_suspicion;
    return late ? m_settings.m_suspicion : m_settings.m_isolation;
}

bool failure_detector::majority_lost_primary(group_view const& view,
                                             state::time_point now,
                                             state::duration timeout) const
{
    auto const statuses = view.statuses();
    auto const primary = view.primary_index();
    std::size_t votes = 0;
    for (std::size_t member = 0; member < statuses.size(); ++member)
    {
        bool const votes_now =
            member != primary &&
            view.answers(member, now, m_settings.m_freshness) &&
            statuses[member].m_role != state::member_role::primary &&
            statuses[member].m_primary_silence >= timeout;
        votes += votes_now ? 1U : 0U;
    }
    return votes >= view.majority();
}

bool failure_detector::has_no_leader(group_view const& view,
                                     state::time_point now) const
{
    auto const statuses = view.statuses();
    std::size_t answering = 0;
    for (std::size_t member = 0; member < statuses.size(); ++member)
    {
        answering +=
            view.answers(member, now, m_settings.m_freshness) ? 1U : 0U;
    }
    if (answering == statuses.size())
    {
        return true;
    }
    bool const restarted =
        m_last_primary &&
        view.answers(*m_last_primary, now, m_settings.m_freshness) &&
        statuses[*m_last_primary].m_followed == m_last_term &&
        view.highest_granted() == m_last_term;
    return restarted && answering >= view.majority();
}

void failure_detector::store_primary(group_view const& view)
{
    if (auto const primary = view.primary_index())
    {
        m_last_primary = primary;
        m_last_term = view.statuses()[*primary].m_granted;
    }
}

} // namespace camphortide::coordination
