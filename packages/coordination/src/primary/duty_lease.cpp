#include <algorithm>
#include <utility>

#include <camphortide/coordination/primary/duty_lease.hpp>

namespace camphortide::coordination
{

duty_lease::duty_lease(std::string name, std::int64_t born,
                       duty_lease_settings settings)
    : m_name(std::move(name)),
      m_start_time(born),
      m_settings(settings)
{
}

bool duty_lease::own(state::duty_record const& record) const
{
    return record.m_holder == m_name && record.m_start_time == m_start_time;
}

void duty_lease::observe(
    std::optional<state::stored<state::duty_record>> const& record,
    bool holder_gone, state::time_point now)
{
    bool const older =
        m_known && record && record->m_revision < m_known->m_revision;
    if (older)
    {
        return;
    }
    bool const changed = !m_ever_read || record != m_known;
    if (changed || now - m_last_read > m_settings.m_read_gap)
    {
        m_unchanged_since = now;
    }
    m_ever_read = true;
    m_last_read = now;
    m_known = record;
    m_holder_gone = holder_gone;
    if (record && own(record->m_record))
    {
        confirm(record->m_record);
    }
    else
    {
        m_confirmed.reset();
    }
}

void duty_lease::confirm(state::duty_record const& record)
{
    if (m_pending && m_pending->m_write.m_record == record)
    {
        m_confirmed = m_pending->m_sent;
        m_pending.reset();
    }
}

bool duty_lease::may_take(state::time_point now) const
{
    if (!m_known)
    {
        return true;
    }
    auto const& record = m_known->m_record;
    // A record under this name with another start is of a process that ended.
    return record.m_holder.empty() || record.m_holder == m_name ||
           m_holder_gone || now - m_unchanged_since >= m_settings.m_lease;
}

std::optional<duty_write> duty_lease::send(state::duty_record record,
                                           state::time_point now)
{
    // Each try differs, so that a record read back names the try that it is
    // of: the lease runs from the sending of just that one.
    m_renewals =
        std::max(m_renewals, m_known ? m_known->m_record.m_renewals : 0) + 1;
    record.m_renewals = m_renewals;
    duty_write const write{std::move(record),
                           m_known ? m_known->m_revision : 0};
    m_pending = pending_write{write, now, false};
    m_last_try = now;
    return write;
}

std::optional<duty_write> duty_lease::step(state::time_point now)
{
    if (m_released || !m_ever_read || (m_pending && !m_pending->m_ended) ||
        now - m_last_try < m_settings.m_retry ||
        now - m_last_read > m_settings.m_read_gap)
    {
        return std::nullopt;
    }
    if (m_known && own(m_known->m_record))
    {
        if (m_confirmed && now - *m_confirmed < m_settings.m_renewal)
        {
            return std::nullopt;
        }
        return send(m_known->m_record, now);
    }
    if (!may_take(now))
    {
        return std::nullopt;
    }
    state::duty_record record;
    record.m_holder = m_name;
    record.m_start_time = m_start_time;
    record.m_token = token() + 1;
    return send(std::move(record), now);
}

void duty_lease::written(std::optional<std::uint64_t> revision,
                         state::time_point now)
{
    if (!m_pending)
    {
        return;
    }
    m_pending->m_ended = true;
    if (!revision)
    {
        return;
    }
    m_known = {m_pending->m_write.m_record, *revision};
    m_unchanged_since = now;
    m_holder_gone = false;
    if (!m_released)
    {
        confirm(m_known->m_record);
    }
}

std::optional<duty_write> duty_lease::release()
{
    m_released = true;
    m_confirmed.reset();
    if (!m_known || !own(m_known->m_record))
    {
        return std::nullopt;
    }
    auto record = m_known->m_record;
    record.m_holder.clear();
    return duty_write{record, m_known->m_revision};
}

bool duty_lease::holds(state::time_point now, state::duration ahead) const
{
    return m_confirmed && now + ahead < *m_confirmed + m_settings.m_lease -
                                            m_settings.m_margin;
}

std::uint64_t duty_lease::token() const
{
    return m_known ? m_known->m_record.m_token : 0;
}

} // namespace camphortide::coordination
