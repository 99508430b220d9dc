#include <algorithm>
#include <cmath>
#include <utility>

#include <camphortide/coordination/limits/share_keeper.hpp>

namespace camphortide::coordination
{

namespace
{

state::duration scaled(state::duration value, double by)
{
    return state::duration(static_cast<state::duration::rep>(
        std::floor(static_cast<double>(value.count()) * by)));
}

} // namespace

share_keeper::share_keeper(holder_id self, share_timing timing, double jitter)
    : m_timing(timing),
      m_jitter(jitter)
{
    m_home.m_self = std::move(self);
}

void share_keeper::set_limits(std::uint64_t version,
                              std::vector<share_limit> limits)
{
    if (version < m_home.m_limits_version)
    {
        return;
    }
    std::sort(limits.begin(), limits.end());
    m_home.m_limits_version = version;
    m_home.m_limits = std::move(limits);
}

void share_keeper::set_demand(share_key const& key, share_demand demand)
{
    m_home.m_demands[key] = demand;
}

void share_keeper::set_gone(std::vector<holder_id> gone)
{
    m_home.m_gone = std::move(gone);
}

void share_keeper::set_contact(state::time_point asked_at)
{
    bool const gap =
        !m_contact || asked_at - *m_contact >= m_timing.m_contact_gap;
    m_contact_since = gap ? asked_at : m_contact_since;
    m_contact = std::max(m_contact.value_or(asked_at), asked_at);
}

std::optional<ledger_call> share_keeper::step(state::time_point now)
{
    if (m_open && now - m_open->m_sent >= m_timing.m_call_timeout)
    {
        call_failed(m_open->m_call.m_number, now);
    }
    if (m_open || now < m_not_before || left())
    {
        return std::nullopt;
    }
    constexpr double refresh_spread = 0.25;
    auto const refresh =
        scaled(m_timing.m_refresh, 1 - refresh_spread * next_jitter());
    ledger_call call;
    if (m_stale || !confirmed_within(refresh, now))
    {
        return open(std::move(call), now);
    }
    m_home.m_isolated =
        !in_contact(now) || now - m_contact_since < m_timing.m_contact_gap;
    call.m_ledger = propose_shares(m_ledger, m_home, due_retirements(now),
                                   may_rebalance(now));
    if (call.m_ledger == m_ledger)
    {
        return std::nullopt;
    }
    call.m_write = true;
    call.m_if_version = m_version;
    return open(std::move(call), now);
}

void share_keeper::read_done(std::uint64_t number, share_ledger const& ledger,
                             std::uint64_t version, state::time_point now)
{
    auto const call = close(number);
    if (!call)
    {
        return;
    }
    if (version < m_version)
    {
        back_off(m_timing.m_last_backoff, now);
        return;
    }
    m_backoff = state::duration{0};
    accept(ledger, version, call->m_sent, now);
}

void share_keeper::write_done(std::uint64_t number, std::uint64_t version,
                              state::time_point now)
{
    auto const call = close(number);
    if (!call)
    {
        return;
    }
    m_backoff = state::duration{0};
    m_rebalanced = now;
    accept(call->m_call.m_ledger, version, call->m_sent, now);
}

void share_keeper::write_conflict(std::uint64_t number, state::time_point now)
{
    if (close(number))
    {
        m_stale = true;
        back_off(m_timing.m_first_backoff, now);
    }
}

void share_keeper::call_failed(std::uint64_t number, state::time_point now)
{
    auto const call = close(number);
    if (!call)
    {
        return;
    }
    if (call->m_call.m_write)
    {
        remember(call->m_call);
    }
    m_stale = true;
    back_off(m_timing.m_last_backoff, now);
}

void share_keeper::confirmed(std::uint64_t version, state::time_point asked_at)
{
    if (version > m_version)
    {
        m_stale = true;
    }
    else if (version == m_version && m_confirmed)
    {
        m_confirmed = std::max(*m_confirmed, asked_at);
    }
}

share_allowance share_keeper::allowance(share_key const& key,
                                        state::time_point now) const
{
    if (!m_confirmed)
    {
        return {fallback(key), share_certainty::guarded};
    }
    auto amount = confirmed_amount(key);
    if (auto const* const limit = m_ledger.find(key))
    {
        amount =
            std::min(amount, target_share(m_ledger, *limit, m_home.m_self));
    }
    if (confirmed_within(m_timing.m_lease, now))
    {
        return {m_home.m_leaving ? 0 : amount, share_certainty::firm};
    }
    bool const kept = in_contact(now) && m_contact_since <= *m_confirmed;
    bool const usable =
        !m_home.m_leaving && (kept || key.m_kind == share_kind::connections);
    return {usable ? amount : 0, share_certainty::guarded};
}

bool share_keeper::left() const
{
    return m_home.m_leaving && !m_stale && !m_open && m_attempts.empty() &&
           !m_ledger.holds(m_home.m_self);
}

std::optional<share_keeper::open_call> share_keeper::close(std::uint64_t number)
{
    if (!m_open || m_open->m_call.m_number != number)
    {
        return std::nullopt;
    }
    return std::exchange(m_open, std::nullopt);
}

ledger_call share_keeper::open(ledger_call call, state::time_point now)
{
    m_last_number += 1;
    call.m_number = m_last_number;
    m_open = open_call{call, now};
    return call;
}

void share_keeper::accept(share_ledger const& ledger, std::uint64_t version,
                          state::time_point asked_at, state::time_point now)
{
    m_ledger = ledger;
    m_version = version;
    m_stale = false;
    m_confirmed = std::max(m_confirmed.value_or(asked_at), asked_at);
    std::erase_if(m_attempts, [version](attempt const& each)
                  { return each.m_if_version < version; });
    std::map<std::uint64_t, state::time_point> seen;
    for (auto const& retired : ledger.m_retired)
    {
        auto const known = m_retirements.find(retired.m_number);
        seen.emplace(retired.m_number,
                     known == m_retirements.end() ? now : known->second);
    }
    m_retirements = std::move(seen);
}

void share_keeper::remember(ledger_call const& write)
{
    bool const known = std::any_of(m_attempts.begin(), m_attempts.end(),
                                   [&write](attempt const& each)
                                   { return each.m_ledger == write.m_ledger; });
    if (!known)
    {
        m_attempts.push_back({write.m_if_version, write.m_ledger});
    }
}

void share_keeper::back_off(state::duration most, state::time_point now)
{
    constexpr int growth = 2;
    m_backoff = std::clamp(m_backoff * growth, m_timing.m_first_backoff, most);
    m_not_before = now + scaled(m_backoff, (1 + next_jitter()) / 2);
}

double share_keeper::next_jitter() const
{
    constexpr double golden_ratio = 0.6180339887;
    double whole = 0;
    return std::modf(
        m_jitter + golden_ratio * static_cast<double>(m_last_number), &whole);
}

bool share_keeper::confirmed_within(state::duration age,
                                    state::time_point now) const
{
    return m_confirmed && now - *m_confirmed < age;
}

std::vector<std::uint64_t>
share_keeper::due_retirements(state::time_point now) const
{
    std::vector<std::uint64_t> due;
    for (auto const& [number, seen] : m_retirements)
    {
        if (now - seen >= m_timing.m_takeover)
        {
            due.push_back(number);
        }
    }
    return due;
}

bool share_keeper::in_contact(state::time_point now) const
{
    return m_contact && now - *m_contact < m_timing.m_contact_gap;
}

bool share_keeper::may_rebalance(state::time_point now) const
{
    return !m_rebalanced || now - *m_rebalanced >= m_timing.m_rebalance;
}

std::int64_t share_keeper::confirmed_amount(share_key const& key) const
{
    auto amount = amount_in(m_ledger, key);
    for (auto const& each : m_attempts)
    {
        amount = std::min(amount, amount_in(each.m_ledger, key));
    }
    if (m_open && m_open->m_call.m_write)
    {
        amount = std::min(amount, amount_in(m_open->m_call.m_ledger, key));
    }
    return amount;
}

std::int64_t share_keeper::amount_in(share_ledger const& ledger,
                                     share_key const& key) const
{
    auto const* const limit = ledger.find(key);
    if (limit == nullptr || ledger.retired(m_home.m_self))
    {
        return 0;
    }
    auto const* const share = limit->find(m_home.m_self);
    return share == nullptr ? 0 : share->m_amount;
}

std::int64_t share_keeper::fallback(share_key const& key) const
{
    if (m_unheld <= 0 || m_home.m_leaving)
    {
        return 0;
    }
    auto const found = std::find_if(
        m_home.m_limits.begin(), m_home.m_limits.end(),
        [&key](share_limit const& limit) { return limit.m_key == key; });
    return found == m_home.m_limits.end() ? 0 : found->m_limit / m_unheld;
}

} // namespace camphortide::coordination
