#include <algorithm>

#include <camphortide/coordination/request/connection_pool.hpp>

namespace camphortide::coordination
{

namespace
{

/// Maximum number of doublings of the delay between openings.
constexpr std::size_t max_doublings = 16;

} // namespace

connection_pool::connection_pool(pool_limits limits) : m_limits(limits) {}

void connection_pool::set_budget(std::size_t connections)
{
    set_allowance(
        {static_cast<std::int64_t>(connections), share_guarantee::exclusive});
}

void connection_pool::set_allowance(share_allowance allowance)
{
    m_budget.set_allowance(allowance);
}

void connection_pool::note_report(std::int64_t connections, std::int64_t limit,
                                  state::time_point requested_at)
{
    m_budget.note_report(connections, limit, requested_at);
}

std::size_t connection_pool::demand() const
{
    return m_busy + m_waiting + m_limits.m_min_idle;
}

void connection_pool::set_waiting(std::size_t requests)
{
    m_waiting = requests;
}

std::optional<connection_id> connection_pool::acquire(state::time_point now)
{
    while (!m_idle.empty())
    {
        auto const generation = m_idle.back();
        m_idle.pop_back();
        auto& value = m_connections.at(generation);
        if (is_expired(value, now))
        {
            change_phase(value, phase::closing);
            m_pending_closes.push_back(generation);
            continue;
        }
        change_phase(value, phase::busy);
        ++value.m_uses;
        return connection_id{generation};
    }
    return std::nullopt;
}

void connection_pool::release(connection_id id, state::time_point now)
{
    auto* const value = find(id);
    if (value == nullptr || value->m_phase != phase::busy)
    {
        return;
    }
    bool const over_budget = held() - m_closing > budget();
    if (value->m_awaited != 0 || is_expired(*value, now) || over_budget)
    {
        abandon(id);
        return;
    }
    change_phase(*value, phase::idle);
    m_idle.push_back(id.m_generation);
}

void connection_pool::abandon(connection_id id)
{
    auto* const value = find(id);
    if (value == nullptr || value->m_phase == phase::closing)
    {
        return;
    }
    if (value->m_phase == phase::idle)
    {
        std::erase(m_idle, id.m_generation);
    }
    change_phase(*value, phase::closing);
    m_pending_closes.push_back(id.m_generation);
}

void connection_pool::opened(connection_id id, state::time_point now)
{
    auto* const value = find(id);
    if (value == nullptr || value->m_phase != phase::opening)
    {
        return;
    }
    m_failures = 0;
    m_budget.note_change(now);
    value->m_opened = now;
    change_phase(*value, phase::idle);
    m_idle.push_back(id.m_generation);
}

void connection_pool::lost(connection_id id, state::time_point now)
{
    auto const found = m_connections.find(id.m_generation);
    if (found == m_connections.end())
    {
        return;
    }
    bool const counted = m_failures > 0 && now < m_not_before;
    m_budget.note_change(now);
    if (found->second.m_phase == phase::opening && !counted)
    {
        note_failure(now);
    }
    std::erase(m_idle, id.m_generation);
    std::erase(m_pending_closes, id.m_generation);
    decrement_phase_count(found->second.m_phase);
    m_connections.erase(found);
}

void connection_pool::endpoint_recovered()
{
    m_failures = 0;
}

void connection_pool::note_failure(state::time_point now)
{
    auto const doublings = std::min(m_failures, max_doublings);
    auto const delay = m_limits.m_retry_delay * (1 << doublings);
    m_not_before = now + std::min(delay, m_limits.m_max_retry_delay);
    ++m_failures;
    if (m_budget.has_recent_report(now))
    {
        m_budget.note_refusal(now); // it is reachable, but has no capacity
    }
}

connection_pool::actions connection_pool::step(state::time_point now)
{
    close_expired(now);
    close_surplus();
    actions result;
    for (auto const generation : m_pending_closes)
    {
        result.push_back({pool_action::kind::close, {generation}});
    }
    m_pending_closes.clear();
    open_missing(now, result);
    return result;
}

std::optional<state::time_point> connection_pool::next_step() const
{
    std::optional<state::time_point> result;
    auto const consider = [&](state::time_point time)
    {
        result = result ? std::min(*result, time) : time;
    };
    for (auto const generation : m_idle)
    {
        auto const end =
            m_connections.at(generation).m_opened + m_limits.m_max_age;
        consider(end - m_limits.m_replacement_lead);
        consider(end);
    }
    if (m_failures > 0)
    {
        consider(m_not_before);
    }
    return result;
}

std::uint64_t connection_pool::next_request(connection_id id)
{
    auto* const value = find(id);
    if (value == nullptr || value->m_phase != phase::busy ||
        value->m_awaited != 0)
    {
        return 0;
    }
    value->m_awaited = ++value->m_last_request;
    return value->m_awaited;
}

bool connection_pool::match_answer(connection_id id, std::uint64_t request)
{
    auto* const value = find(id);
    if (value == nullptr || value->m_phase != phase::busy || request == 0 ||
        value->m_awaited != request)
    {
        return false;
    }
    value->m_awaited = 0;
    return true;
}

bool connection_pool::is_quiescent(connection_id id) const
{
    auto const found = m_connections.find(id.m_generation);
    return found != m_connections.end() &&
           found->second.m_phase == phase::busy && found->second.m_awaited == 0;
}

connection_pool::connection* connection_pool::find(connection_id id)
{
    auto const found = m_connections.find(id.m_generation);
    return found == m_connections.end() ? nullptr : &found->second;
}

bool connection_pool::is_expired(connection const& value,
                                 state::time_point now) const
{
    return value.m_uses >= m_limits.m_max_uses ||
           now - value.m_opened >= m_limits.m_max_age;
}

bool connection_pool::expires_soon(connection const& value,
                                   state::time_point now) const
{
    constexpr std::uint64_t twentieth = 20;
    auto const use_margin = m_limits.m_max_uses / twentieth;
    return value.m_uses + use_margin >= m_limits.m_max_uses ||
           now - value.m_opened >=
               m_limits.m_max_age - m_limits.m_replacement_lead;
}

void connection_pool::close_expired(state::time_point now)
{
    auto const expired = std::partition(
        m_idle.begin(), m_idle.end(),
        [&](std::uint64_t generation)
        { return !is_expired(m_connections.at(generation), now); });
    std::for_each(expired, m_idle.end(),
                  [&](std::uint64_t generation) { close(generation); });
    m_idle.erase(expired, m_idle.end());
}

void connection_pool::close(std::uint64_t generation)
{
    change_phase(m_connections.at(generation), phase::closing);
    m_pending_closes.push_back(generation);
}

void connection_pool::close_surplus()
{
    auto const surplus = [&]
    {
        auto const kept = held() - m_closing;
        return kept > budget() ? kept - budget() : 0;
    };
    auto const idle_surplus = std::min(surplus(), m_idle.size());
    for (std::size_t i = 0; i < idle_surplus; ++i)
    {
        close(m_idle[i]);
    }
    m_idle.erase(m_idle.begin(),
                 m_idle.begin() + static_cast<std::ptrdiff_t>(idle_surplus));
    if (surplus() == 0 || m_opening == 0)
    {
        return;
    }
    for (auto const& [generation, value] : m_connections)
    {
        if (value.m_phase == phase::opening && surplus() > 0)
        {
            close(generation);
        }
    }
}

void connection_pool::open_missing(state::time_point now, actions& to_perform)
{
    if (m_failures > 0 && now < m_not_before)
    {
        return;
    }
    auto const target = m_limits.m_min_idle + m_waiting;
    while (count_lasting_idle(now) + m_opening < target &&
           m_budget.may_open(static_cast<std::int64_t>(m_opening),
                             static_cast<std::int64_t>(held()), now))
    {
        auto const generation = ++m_last_generation;
        m_connections.try_emplace(generation);
        ++m_opening;
        to_perform.push_back({pool_action::kind::open, {generation}});
    }
}

std::size_t connection_pool::count_lasting_idle(state::time_point now) const
{
    return static_cast<std::size_t>(std::ranges::count_if(
        m_idle, [&](std::uint64_t generation)
        { return !expires_soon(m_connections.at(generation), now); }));
}

void connection_pool::decrement_phase_count(phase value)
{
    constexpr std::size_t connection_pool::*counts[]{
        &connection_pool::m_opening, nullptr, &connection_pool::m_busy,
        &connection_pool::m_closing};
    auto const count = counts[static_cast<std::size_t>(value)];
    if (count != nullptr)
    {
        --(this->*count);
    }
}

void connection_pool::change_phase(connection& value, phase to)
{
    decrement_phase_count(value.m_phase);
    value.m_phase = to;
    m_busy += to == phase::busy ? 1 : 0;
    m_closing += to == phase::closing ? 1 : 0;
}

} // namespace camphortide::coordination
