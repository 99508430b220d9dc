#include <algorithm>
#include <utility>

#include <camphortide/coordination/primary/duty_lease.hpp>
#include <camphortide/coordination/primary/fencing_token.hpp>
#include <camphortide/coordination/primary/promotion_calls.hpp>

namespace camphortide::coordination
{

namespace
{

/// Hosts with at least this share of a core take a free duty at once.
constexpr double strong_processor_share = 0.2;
/// How long others leave it to them: a listing of the store and a write.
constexpr state::duration weak_hesitation{300};

} // namespace

state::duration duty_hesitation(double processor_share)
{
    return processor_share >= strong_processor_share ? state::duration(0)
                                                     : weak_hesitation;
}

duty_lease::duty_lease(std::string name, std::int64_t start_time,
                       duty_lease_settings settings)
    : m_name(std::move(name)),
      m_start_time(start_time),
      m_settings(settings)
{
}

bool duty_lease::is_own(state::duty_record const& record) const
{
    return record.m_holder == m_name && record.m_start_time == m_start_time;
}

void duty_lease::note_store(std::uint64_t era, std::uint64_t highest_token)
{
    if (era > m_era)
    {
        m_era = era;
        m_earlier_permits_lapsed = false;
    }
    note_token(highest_token);
}

void duty_lease::note_token(std::uint64_t token)
{
    // An odd entry of another writer may have any token.
    if (era_of_token(token) <= m_era)
    {
        m_highest_token = std::max(m_highest_token, token);
    }
}

void duty_lease::observe(
    std::optional<state::stored<state::duty_record>> const& record,
    bool holder_ended, state::time_point now)
{
    bool const older =
        m_cached && record && record->m_revision < m_cached->m_revision;
    if (older)
    {
        return;
    }
    bool const changed = !m_has_read || record != m_cached;
    if (changed || now - m_last_read > m_settings.m_max_read_gap)
    {
        m_unchanged_since = now;
    }
    m_first_read = m_has_read ? m_first_read : now;
    m_has_read = true;
    m_last_read = now;
    m_cached = record;
    note_holder_ended(holder_ended, changed, now);
    if (record)
    {
        note_store(record->m_revision.era(), record->m_record.m_token);
    }
    if (record && !is_of_current_era(*record))
    {
        return; // doesn't show who holds the duty now
    }
    if (record && is_own(record->m_record))
    {
        confirm(record->m_record);
    }
    else
    {
        m_confirmed_from.reset();
    }
}

void duty_lease::note_holder_ended(bool holder_ended, bool changed,
                                   state::time_point now)
{
    if (!holder_ended)
    {
        m_holder_ended_at.reset();
    }
    else if (!m_holder_ended_at || changed)
    {
        m_holder_ended_at = now;
    }
}

void duty_lease::confirm(state::duty_record const& record)
{
    if (m_pending && m_pending->m_write.m_record == record)
    {
        m_confirmed_from = m_pending->m_sent;
        m_pending.reset();
    }
}

bool duty_lease::lease_lapsed(state::time_point now) const
{
    return now - m_unchanged_since >=
           m_settings.m_lease + m_settings.m_hesitation;
}

bool duty_lease::can_take_over(state::time_point now) const
{
    if (m_cached && !is_of_current_era(*m_cached))
    {
        return lease_runs(now) || lease_lapsed(now);
    }
    bool const is_free = !m_cached || m_cached->m_record.m_holder.empty();
    if (is_free)
    {
        return now - m_unchanged_since >= m_settings.m_hesitation;
    }
    // A record with this name but another start time belongs to an earlier
    // process of this instance, which has ended.
    return m_cached->m_record.m_holder == m_name || m_holder_ended_at ||
           lease_lapsed(now);
}

state::time_point duty_lease::calls_of_holder_until(state::time_point now) const
{
    bool const is_free = !m_cached || m_cached->m_record.m_holder.empty();
    if (is_free || lease_lapsed(now) || !is_of_current_era(*m_cached))
    {
        return {};
    }
    // An earlier process of this instance ended before this one read anything.
    return m_holder_ended_at.value_or(m_first_read) + promotion_call_lifetime;
}

std::optional<duty_write> duty_lease::start_write(state::duty_record record,
                                                  state::time_point now)
{
    // Each attempt has its own number, so that a record that is read back
    // identifies its attempt: the lease runs from when that one was sent.
    m_renewals =
        std::max(m_renewals, m_cached ? m_cached->m_record.m_renewals : 0) + 1;
    record.m_renewals = m_renewals;
    record.m_earlier_permits_lapsed =
        m_earlier_permits_lapsed || earlier_permits_lapsed();
    duty_write const write{std::move(record), m_cached
                                                  ? m_cached->m_revision
                                                  : state::store_revision()};
    m_pending = pending_write{write, now, false};
    m_last_attempt = now;
    return write;
}

std::optional<duty_write> duty_lease::step(state::time_point now)
{
    if (m_released || !m_has_read || (m_pending && !m_pending->m_completed) ||
        now - m_last_attempt < m_settings.m_retry_interval ||
        now - m_last_read > m_settings.m_max_read_gap)
    {
        return std::nullopt;
    }
    if (m_cached && is_of_current_era(*m_cached) && is_own(m_cached->m_record))
    {
        if (m_confirmed_from &&
            now - *m_confirmed_from < m_settings.m_renewal_interval)
        {
            return std::nullopt;
        }
        return start_write(m_cached->m_record, now);
    }
    if (!can_take_over(now))
    {
        return std::nullopt;
    }
    m_earlier_calls_until =
        std::max(m_earlier_calls_until, calls_of_holder_until(now));
    state::duty_record record;
    record.m_holder = m_name;
    record.m_start_time = m_start_time;
    record.m_token = next_token();
    return start_write(std::move(record), now);
}

bool duty_lease::earlier_permits_lapsed() const
{
    return m_cached && is_of_current_era(*m_cached) &&
           m_cached->m_record.m_earlier_permits_lapsed;
}

std::uint64_t duty_lease::next_token() const
{
    return std::max(m_highest_token, m_era * tokens_per_era) + 1;
}

void duty_lease::write_finished(
    std::optional<state::store_revision> const& revision, state::time_point now)
{
    if (!m_pending)
    {
        return;
    }
    m_pending->m_completed = true;
    if (!revision || revision->era() < m_era)
    {
        return;
    }
    m_cached = {m_pending->m_write.m_record, *revision};
    note_store(revision->era(), m_cached->m_record.m_token);
    m_unchanged_since = now;
    m_holder_ended_at.reset();
    if (!m_released && is_of_current_era(*m_cached))
    {
        confirm(m_cached->m_record);
    }
}

std::optional<duty_write> duty_lease::release()
{
    m_released = true;
    m_confirmed_from.reset();
    if (!m_cached || !is_own(m_cached->m_record))
    {
        return std::nullopt;
    }
    auto record = m_cached->m_record;
    record.m_holder.clear();
    return duty_write{record, m_cached->m_revision};
}

bool duty_lease::holds(state::time_point now, state::duration ahead) const
{
    return m_cached && is_of_current_era(*m_cached) && lease_runs(now, ahead);
}

bool duty_lease::lease_runs(state::time_point now, state::duration ahead) const
{
    return m_confirmed_from && now + ahead < *m_confirmed_from +
                                                 m_settings.m_lease -
                                                 m_settings.m_safety_margin;
}

std::uint64_t duty_lease::token() const
{
    return m_cached ? m_cached->m_record.m_token : 0;
}

} // namespace camphortide::coordination
