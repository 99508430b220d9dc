#include <algorithm>
#include <utility>

#include <camphortide/transport/gateway/share_control.hpp>

namespace camphortide::transport
{

namespace
{

/// Requests sent to a member for each of its slots, so that the next one is
/// there when a slot is free.
constexpr std::uint32_t requests_per_slot = 2;
constexpr state::duration observe_interval{250};
/// How long the shares move after the homes changed.
constexpr state::duration follow_time{5000};
/// Between two reads of the ledger meanwhile.
constexpr state::duration look_interval{500};
/// After this long requests look at the shares themselves.
constexpr state::duration most_applied_age{500};

bool uses_nothing(coordination::entry_limits const& limits)
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
    m_whole.clear();
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
    m_whole.clear();
    for (auto& entry : entries)
    {
        auto name = entry.m_name;
        m_whole.emplace(std::move(name), std::move(entry));
    }
    apply();
    hasten();
}

void share_control::arrived(std::string_view entry)
{
    if (!m_shares)
    {
        return;
    }
    m_shares->arrived(entry);
    if (m_core.m_now - m_applied >= most_applied_age)
    {
        apply();
    }
}

bool share_control::lacks_share(std::string_view entry,
                                coordination::slot_class which) const
{
    auto const whole = m_whole.find(entry);
    if (!m_shares || whole == m_whole.end())
    {
        return false;
    }
    if (lacks_connections(which))
    {
        return true;
    }
    auto const local =
        std::ranges::find(m_local, entry, &coordination::entry_limits::m_name);
    return !uses_nothing(whole->second) &&
           (local == m_local.end() || uses_nothing(*local));
}

bool share_control::lacks_connections(coordination::slot_class which) const
{
    auto const has_none = [](auto const& member)
    {
        return member->pool().budget() == 0;
    };
    if (m_connections == 0)
    {
        return false;
    }
    auto const primary = m_core.primary_index();
    if (which == coordination::slot_class::primary && primary)
    {
        return has_none(m_core.m_members[*primary]);
    }
    return std::ranges::all_of(m_core.m_members, has_none);
}

void share_control::set_capacity()
{
    std::uint32_t most = 0;
    std::uint32_t all = 0;
    std::size_t budget = 0;
    auto const of = [this](member_link const& member)
    {
        return std::min(static_cast<std::uint32_t>(member.pool().budget()),
                        m_slots * requests_per_slot);
    };
    for (auto const& member : m_core.m_members)
    {
        most = std::max(most, of(*member));
        all += of(*member);
        budget = std::max(budget, member->pool().budget());
    }
    auto const* const leads = m_core.primary();
    auto const primary = leads != nullptr ? of(*leads) : most;
    budget = leads != nullptr ? leads->pool().budget() : budget;
    bool const single = m_core.m_members.size() == 1;
    m_transactions.set_most(std::max<std::size_t>(1, budget / 2));
    m_core.note_changes(m_core.m_admission.set_capacity(
        coordination::slot_class::primary, primary, m_core.m_now));
    m_core.note_changes(m_core.m_admission.set_capacity(
        coordination::slot_class::replica, single ? primary : all - primary,
        m_core.m_now));
}

std::optional<coordination::ledger_call> share_control::step()
{
    if (!m_shares)
    {
        return std::nullopt;
    }
    bool const observes = m_core.m_now >= m_next_observation;
    if (!observes && !m_hastened)
    {
        return std::nullopt;
    }
    m_hastened = false;
    if (observes)
    {
        m_next_observation = m_core.m_now + observe_interval;
        observe();
        follow_change();
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
    m_follow_until = m_core.m_now + follow_time;
    hasten();
}

void share_control::follow_change()
{
    if (m_core.m_now >= m_follow_until || m_core.m_now < m_next_look)
    {
        return;
    }
    m_next_look = m_core.m_now + look_interval;
    auto& manager = m_shares->manager();
    // There may be a newer version: that makes the manager read it.
    manager.confirmed(manager.version() + 1, m_core.m_now);
}

void share_control::observe()
{
    for (auto const& [name, limits] : m_whole)
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
    if (entries == m_local)
    {
        return;
    }
    m_local = std::move(entries);
    m_core.note_changes(m_core.m_admission.set_entries(m_local, m_core.m_now));
}

} // namespace camphortide::transport
