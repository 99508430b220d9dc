#include <algorithm>
#include <cmath>
#include <utility>

#include <camphortide/coordination/limits/share_manager.hpp>

namespace camphortide::coordination
{

namespace
{

state::duration scaled(state::duration value, double factor)
{
    return state::duration(static_cast<state::duration::rep>(
        std::floor(static_cast<double>(value.count()) * factor)));
}

} // namespace

share_manager::share_manager(holder_id self, share_timing timing, double jitter)
    : m_timing(timing),
      m_jitter(jitter)
{
    m_home.m_self = std::move(self);
}

void share_manager::set_limits(std::uint64_t version,
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

void share_manager::set_demand(share_key const& key, share_demand demand)
{
    m_home.m_demands[key] = demand;
}

void share_manager::set_gone(std::vector<holder_id> gone)
{
    m_home.m_gone = std::move(gone);
}

void share_manager::set_contact(state::time_point requested_at)
{
    bool const gap = !m_last_contact || requested_at - *m_last_contact >=
                                            m_timing.m_contact_timeout;
    m_contact_since = gap ? requested_at : m_contact_since;
    m_last_contact =
        std::max(m_last_contact.value_or(requested_at), requested_at);
}

std::optional<ledger_call> share_manager::step(state::time_point now)
{
    if (m_pending_call &&
        now - m_pending_call->m_sent >= m_timing.m_call_timeout)
    {
        call_failed(m_pending_call->m_call.m_number, now);
    }
    if (m_pending_call || now < m_next_call_at || left())
    {
        return std::nullopt;
    }
    constexpr double refresh_spread = 0.25;
    auto const refresh =
        scaled(m_timing.m_refresh_interval, 1 - refresh_spread * next_jitter());
    ledger_call call;
    if (m_stale || !confirmed_within(refresh, now))
    {
        return start_call(std::move(call), now);
    }
    m_home.m_isolated =
        !in_contact(now) || now - m_contact_since < m_timing.m_contact_timeout;
    call.m_ledger = propose_shares(m_ledger, m_home, due_retirements(now),
                                   may_rebalance(now));
    if (call.m_ledger == m_ledger)
    {
        return std::nullopt;
    }
    call.m_write = true;
    call.m_if_version = m_version;
    return start_call(std::move(call), now);
}

void share_manager::read_done(std::uint64_t number, share_ledger const& ledger,
                              std::uint64_t version, state::time_point now)
{
    auto const call = finish_call(number);
    if (!call)
    {
        return;
    }
    if (version < m_version)
    {
        back_off(m_timing.m_max_backoff, now);
        return;
    }
    m_backoff = state::duration{0};
    apply_ledger(ledger, version, call->m_sent, now);
}

void share_manager::write_done(std::uint64_t number, std::uint64_t version,
                               state::time_point now)
{
    auto const call = finish_call(number);
    if (!call)
    {
        return;
    }
    m_backoff = state::duration{0};
    m_last_rebalance = now;
    apply_ledger(call->m_call.m_ledger, version, call->m_sent, now);
}

void share_manager::write_conflict(std::uint64_t number, state::time_point now)
{
    if (finish_call(number))
    {
        m_stale = true;
        back_off(m_timing.m_min_backoff, now);
    }
}

void share_manager::call_failed(std::uint64_t number, state::time_point now)
{
    auto const call = finish_call(number);
    if (!call)
    {
        return;
    }
    if (call->m_call.m_write)
    {
        add_uncertain_write(call->m_call);
    }
    m_stale = true;
    back_off(m_timing.m_max_backoff, now);
}

void share_manager::confirmed(std::uint64_t version,
                              state::time_point requested_at)
{
    if (version > m_version)
    {
        m_stale = true;
    }
    else if (version == m_version && m_confirmed)
    {
        m_confirmed = std::max(*m_confirmed, requested_at);
    }
}

share_allowance share_manager::allowance(share_key const& key,
                                         state::time_point now) const
{
    if (!m_confirmed)
    {
        return {fallback_amount(key), share_guarantee::provisional};
    }
    auto amount = confirmed_amount(key);
    if (auto const* const limit = m_ledger.find(key))
    {
        amount =
            std::min(amount, target_share(m_ledger, *limit, m_home.m_self));
    }
    if (confirmed_within(m_timing.m_lease, now))
    {
        return {m_home.m_leaving ? 0 : amount, share_guarantee::exclusive};
    }
    bool const uninterrupted =
        in_contact(now) && m_contact_since <= *m_confirmed;
    bool const usable =
        !m_home.m_leaving &&
        (uninterrupted || key.m_kind == share_kind::connections);
    return {usable ? amount : 0, share_guarantee::provisional};
}

bool share_manager::left() const
{
    return m_home.m_leaving && !m_stale && !m_pending_call &&
           m_uncertain_writes.empty() && !m_ledger.holds(m_home.m_self);
}

std::optional<share_manager::pending_call>
share_manager::finish_call(std::uint64_t number)
{
    if (!m_pending_call || m_pending_call->m_call.m_number != number)
    {
        return std::nullopt;
    }
    return std::exchange(m_pending_call, std::nullopt);
}

ledger_call share_manager::start_call(ledger_call call, state::time_point now)
{
    m_last_number += 1;
    call.m_number = m_last_number;
    m_pending_call = pending_call{call, now};
    return call;
}

void share_manager::apply_ledger(share_ledger const& ledger,
                                 std::uint64_t version,
                                 state::time_point requested_at,
                                 state::time_point now)
{
    m_ledger = ledger;
    m_version = version;
    m_stale = false;
    m_confirmed = std::max(m_confirmed.value_or(requested_at), requested_at);
    std::erase_if(m_uncertain_writes, [version](uncertain_write const& each)
                  { return each.m_if_version < version; });
    std::map<std::uint64_t, state::time_point> seen;
    for (auto const& retired : ledger.m_retired)
    {
        auto const previous = m_first_seen.find(retired.m_number);
        seen.emplace(retired.m_number,
                     previous == m_first_seen.end() ? now : previous->second);
    }
    m_first_seen = std::move(seen);
}

void share_manager::add_uncertain_write(ledger_call const& write)
{
    bool const is_recorded =
        std::any_of(m_uncertain_writes.begin(), m_uncertain_writes.end(),
                    [&write](uncertain_write const& each)
                    { return each.m_ledger == write.m_ledger; });
    if (!is_recorded)
    {
        m_uncertain_writes.push_back({write.m_if_version, write.m_ledger});
    }
}

void share_manager::back_off(state::duration max_backoff, state::time_point now)
{
    constexpr int growth = 2;
    m_backoff =
        std::clamp(m_backoff * growth, m_timing.m_min_backoff, max_backoff);
    m_next_call_at = now + scaled(m_backoff, (1 + next_jitter()) / 2);
}

double share_manager::next_jitter() const
{
    constexpr double golden_ratio = 0.6180339887;
    double whole = 0;
    return std::modf(
        m_jitter + golden_ratio * static_cast<double>(m_last_number), &whole);
}

bool share_manager::confirmed_within(state::duration age,
                                     state::time_point now) const
{
    return m_confirmed && now - *m_confirmed < age;
}

std::vector<std::uint64_t>
share_manager::due_retirements(state::time_point now) const
{
    std::vector<std::uint64_t> due;
    for (auto const& [number, seen] : m_first_seen)
    {
        if (now - seen >= m_timing.m_takeover_delay)
        {
            due.push_back(number);
        }
    }
    return due;
}

bool share_manager::in_contact(state::time_point now) const
{
    return m_last_contact && now - *m_last_contact < m_timing.m_contact_timeout;
}

bool share_manager::may_rebalance(state::time_point now) const
{
    return !m_last_rebalance ||
           now - *m_last_rebalance >= m_timing.m_rebalance_interval;
}

std::int64_t share_manager::confirmed_amount(share_key const& key) const
{
    auto amount = amount_in(m_ledger, key);
    for (auto const& each : m_uncertain_writes)
    {
        amount = std::min(amount, amount_in(each.m_ledger, key));
    }
    if (m_pending_call && m_pending_call->m_call.m_write)
    {
        amount =
            std::min(amount, amount_in(m_pending_call->m_call.m_ledger, key));
    }
    return amount;
}

std::int64_t share_manager::amount_in(share_ledger const& ledger,
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

std::int64_t share_manager::fallback_amount(share_key const& key) const
{
    if (m_fallback_homes <= 0 || m_home.m_leaving)
    {
        return 0;
    }
    auto const found = std::find_if(
        m_home.m_limits.begin(), m_home.m_limits.end(),
        [&key](share_limit const& limit) { return limit.m_key == key; });
    return found == m_home.m_limits.end() ? 0
                                          : found->m_limit / m_fallback_homes;
}

} // namespace camphortide::coordination
