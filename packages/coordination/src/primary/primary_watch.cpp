#include <algorithm>

#include <camphortide/coordination/primary/primary_watch.hpp>

namespace camphortide::coordination
{

void primary_watch::begin(state::time_point now)
{
    m_last_answer = m_last_tick = now;
    m_first_refusal.reset();
    m_last_refusal.reset();
    m_words.clear();
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

void primary_watch::note_word(std::string const& instance,
                              state::time_point now)
{
    auto& entry = m_words[instance];
    if (now - entry.m_last > m_settings.m_word_lifetime)
    {
        entry.m_first = now;
    }
    entry.m_last = now;
}

void primary_watch::tick(state::time_point now)
{
    if (now - m_last_tick > m_settings.m_own_pause)
    {
        // What came meanwhile is still unread.
        begin(now);
    }
    m_last_tick = now;
}

bool primary_watch::told_by_others(std::size_t instances,
                                   state::time_point now) const
{
    auto const counts = [&](auto const& entry)
    {
        return now - entry.second.m_last <= m_settings.m_word_lifetime &&
               now - entry.second.m_first >= m_settings.m_word_age;
    };
    auto const words = static_cast<std::size_t>(
        std::count_if(m_words.begin(), m_words.end(), counts));
    return words >= 2 && words * 3 >= instances;
}

primary_loss primary_watch::judge(std::size_t instances,
                                  state::time_point now) const
{
    if (m_first_refusal &&
        *m_last_refusal - *m_first_refusal >= m_settings.m_refusal_gap)
    {
        return primary_loss::refuses;
    }
    if (now - m_last_answer >= m_settings.m_silence)
    {
        return primary_loss::silent;
    }
    return told_by_others(instances, now) ? primary_loss::lost_to_others
                                          : primary_loss::none;
}

} // namespace camphortide::coordination
