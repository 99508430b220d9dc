#include <algorithm>
#include <utility>

#include <camphortide/transport/gateway/share_control.hpp>

namespace camphortide::transport
{

namespace
{

/// Requests sent to a member for each of its slots, so that the next request is
/// already there when a slot becomes free.
constexpr std::uint32_t requests_per_slot = 2;
constexpr state::duration observe_interval{250};
/// Time during which the shares move between the homes after a change of the
/// homes.
constexpr state::duration rebalance_time{5000};
/// Interval between reads of the ledger during that time.
constexpr state::duration ledger_read_interval{500};
/// If the shares were applied longer ago than this, the next request applies
/// them on arrival.
constexpr state::duration max_applied_age{500};

bool is_zero(coordination::entry_limits const& limits)
{
    return limits.m_rate == 0.0 || limits.m_concurrency == 0U;
}

} // namespace

share_control::share_control(group_core& core,
                             transaction_service& transactions,
                             std::uint32_t slots)
    : m_core(core),
      m_transactions(transactions),
      m_slots(std::max<std::uint32_t>(1, slots))
{
}

void share_control::set_fixed(std::size_t connections,
                              std::vector<coordination::entry_limits> entries)
{
    m_shares.reset();
    m_system_limits.clear();
    m_connections = connections;
    for (auto const& member : m_core.m_members)
    {
        member->set_allowance({static_cast<std::int64_t>(connections),
                               coordination::share_guarantee::exclusive});
    }
    apply_entries(std::move(entries));
    set_capacity();
}

void share_control::set_holder(coordination::holder_id self, double jitter)
{
    m_shares.emplace(std::move(self), coordination::share_timing{}, jitter);
}

void share_control::set_group(std::uint64_t version, std::size_t homes,
                              std::size_t connections,
                              std::vector<coordination::entry_limits> entries)
{
    if (!m_shares)
    {
        return;
    }
    m_connections = connections;
    std::vector<coordination::member_connections> members;
    for (auto const& member : m_core.m_members)
    {
        members.push_back({member->description().m_name,
                           static_cast<std::int64_t>(connections)});
    }
    m_shares->set_group(version, homes, members, entries);
    m_system_limits.clear();
    for (auto& entry : entries)
    {
        auto name = entry.m_name;
        m_system_limits.emplace(std::move(name), std::move(entry));
    }
    apply();
    request_step();
}

void share_control::arrived(std::string_view entry)
{
    if (!m_shares)
    {
        return;
    }
    m_shares->arrived(entry);
    if (m_core.m_now - m_applied >= max_applied_age)
    {
        apply();
    }
}

bool share_control::lacks_share(std::string_view entry,
                                coordination::slot_class requested) const
{
    auto const system_limits = m_system_limits.find(entry);
    if (!m_shares || system_limits == m_system_limits.end())
    {
        return false;
    }
    if (lacks_connections(requested))
    {
        return true;
    }
    auto const local = std::ranges::find(m_local_limits, entry,
                                         &coordination::entry_limits::m_name);
    return !is_zero(system_limits->second) &&
           (local == m_local_limits.end() || is_zero(*local));
}

bool share_control::lacks_connections(coordination::slot_class requested) const
{
    auto const lacks_budget = [](auto const& member)
    {
        return member->pool().budget() == 0;
    };
    if (m_connections == 0)
    {
        return false;
    }
    auto const primary = m_core.primary_index();
    if (requested == coordination::slot_class::primary && primary)
    {
        return lacks_budget(m_core.m_members[*primary]);
    }
    return std::ranges::all_of(m_core.m_members, lacks_budget);
}

void share_control::set_capacity()
{
    std::uint32_t max_capacity = 0;
    std::uint32_t total = 0;
    std::size_t budget = 0;
    auto const capacity_of = [this](member_link const& member)
    {
        return std::min(static_cast<std::uint32_t>(member.pool().budget()),
                        m_slots * requests_per_slot);
    };
    for (auto const& member : m_core.m_members)
    {
        max_capacity = std::max(max_capacity, capacity_of(*member));
        total += capacity_of(*member);
        budget = std::max(budget, member->pool().budget());
    }
    auto const* const primary_link = m_core.primary();
    auto const primary =
        primary_link != nullptr ? capacity_of(*primary_link) : max_capacity;
    budget = primary_link != nullptr ? primary_link->pool().budget() : budget;
    bool const single = m_core.m_members.size() == 1;
    m_transactions.set_max_open(std::max<std::size_t>(1, budget / 2));
    m_core.apply_admission_changes(m_core.m_admission.set_capacity(
        coordination::slot_class::primary, primary, m_core.m_now));
    m_core.apply_admission_changes(m_core.m_admission.set_capacity(
        coordination::slot_class::replica, single ? primary : total - primary,
        m_core.m_now));
}

std::optional<coordination::ledger_call> share_control::step()
{
    if (!m_shares)
    {
        return std::nullopt;
    }
    bool const observe_due = m_core.m_now >= m_next_observation;
    if (!observe_due && !m_step_requested)
    {
        return std::nullopt;
    }
    m_step_requested = false;
    if (observe_due)
    {
        m_next_observation = m_core.m_now + observe_interval;
        observe();
        reread_ledger();
    }
    auto call = m_shares->manager().step(m_core.m_now);
    apply();
    return call;
}

coordination::share_manager* share_control::manager()
{
    return m_shares ? &m_shares->manager() : nullptr;
}

void share_control::homes_changed()
{
    m_rebalance_until = m_core.m_now + rebalance_time;
    request_step();
}

void share_control::reread_ledger()
{
    if (m_core.m_now >= m_rebalance_until || m_core.m_now < m_next_ledger_read)
    {
        return;
    }
    m_next_ledger_read = m_core.m_now + ledger_read_interval;
    auto& manager = m_shares->manager();
    // Announces a version newer than the known one, which makes the share
    // manager read the ledger.
    manager.confirmed(manager.version() + 1, m_core.m_now);
}

void share_control::observe()
{
    for (auto const& [name, limits] : m_system_limits)
    {
        m_shares->observe(name, m_core.m_admission.load(name), m_core.m_now);
    }
    for (auto const& member : m_core.m_members)
    {
        auto const& pool = member->pool();
        m_shares->observe_member(member->description().m_name,
                                 static_cast<std::int64_t>(pool.demand()),
                                 static_cast<std::int64_t>(pool.held()));
    }
}

void share_control::apply()
{
    m_applied = m_core.m_now;
    for (auto const& member : m_core.m_members)
    {
        member->set_allowance(
            m_shares->connections(member->description().m_name, m_core.m_now));
    }
    apply_entries(m_shares->local_entries(m_core.m_now));
    set_capacity();
}

void share_control::apply_entries(
    std::vector<coordination::entry_limits> entries)
{
    if (entries == m_local_limits)
    {
        return;
    }
    m_local_limits = std::move(entries);
    m_core.apply_admission_changes(
        m_core.m_admission.set_entries(m_local_limits, m_core.m_now));
}

} // namespace camphortide::transport
