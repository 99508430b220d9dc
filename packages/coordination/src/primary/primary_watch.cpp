#include <algorithm>

#include <camphortide/coordination/primary/primary_watch.hpp>

namespace camphortide::coordination
{

void primary_watch::begin(state::time_point now)
{
    m_last_answer = m_last_tick = now;
    m_was_registered = false;
    m_unregistered_since.reset();
    m_first_refusal.reset();
    m_last_refusal.reset();
    m_reports.clear();
}

void primary_watch::note_registration(bool registered, state::time_point now)
{
    m_was_registered = m_was_registered || registered;
    if (registered)
    {
        if (m_unregistered_since)
        {
            m_last_answer = now; // it is asked from now on
        }
        m_unregistered_since.reset();
    }
    else if (!m_unregistered_since)
    {
        m_unregistered_since = now;
    }
}

void primary_watch::note_answer(state::time_point now)
{
    m_last_answer = now;
    m_first_refusal.reset();
    m_last_refusal.reset();
}

void primary_watch::note_refusal(state::time_point now)
{
    if (!m_first_refusal)
    {
        m_first_refusal = now;
    }
    m_last_refusal = now;
}

void primary_watch::note_report(std::string const& instance,
                                state::time_point now)
{
    auto& entry = m_reports[instance];
    if (now - entry.m_last_received > m_settings.m_report_lifetime)
    {
        entry.m_first_received = now;
    }
    entry.m_last_received = now;
}

void primary_watch::tick(state::time_point now)
{
    if (now - m_last_tick > m_settings.m_max_tick_interval)
    {
        // Answers that arrived during the pause haven't been read yet.
        begin(now);
    }
    auto const delay = std::max(now - m_last_tick - m_settings.m_tick_interval,
                                state::duration(0));
    m_delay = std::max(delay, m_delay * 9 / 10);
    m_last_tick = now;
}

state::duration primary_watch::response_timeout() const
{
    return m_settings.m_response_timeout +
           std::min(m_delay * m_settings.m_delay_factor,
                    m_settings.m_max_delay_allowance);
}

bool primary_watch::unregistered(state::time_point now) const
{
    return m_unregistered_since &&
           (m_was_registered ||
            now - *m_unregistered_since >= m_settings.m_registration_grace);
}

bool primary_watch::reported_by_others(std::size_t instances,
                                       state::time_point now) const
{
    auto const counts = [&](auto const& entry)
    {
        return now - entry.second.m_last_received <=
                   m_settings.m_report_lifetime &&
               now - entry.second.m_first_received >=
                   m_settings.m_min_report_age;
    };
    auto const reports = static_cast<std::size_t>(
        std::count_if(m_reports.begin(), m_reports.end(), counts));
    return reports >= 2 && reports * 3 >= instances;
}

primary_loss primary_watch::evaluate(std::size_t instances,
                                     state::time_point now) const
{
    if (m_first_refusal &&
        *m_last_refusal - *m_first_refusal >= m_settings.m_min_refusal_interval)
    {
        return primary_loss::refuses;
    }
    bool const is_asked = !m_unregistered_since || m_was_registered;
    if (is_asked && now - m_last_answer >= response_timeout())
    {
        return primary_loss::silent;
    }
    if (unregistered(now))
    {
        return primary_loss::unregistered;
    }
    return reported_by_others(instances, now) ? primary_loss::lost_to_others
                                              : primary_loss::none;
}

} // namespace camphortide::coordination
