#include <algorithm>
#include <functional>

#include <camphortide/coordination/fleet/membership.hpp>

namespace camphortide::coordination
{

using state::instance_record;
using state::instance_state;
using state::time_point;

membership::membership(membership_settings const& settings,
                       instance_record self, std::vector<std::string> seeds,
                       std::uint64_t seed, time_point now)
    : m_settings(settings),
      m_self(std::move(self)),
      m_seeds(std::move(seeds)),
      m_random(seed),
      m_table(settings.m_max_records),
      m_last_tick(now),
      m_next_interval(now),
      m_next_gossip(now)
{
    std::erase(m_seeds, m_self.m_address);
    auto const bound =
        std::max<state::clock::rep>(m_settings.m_interval.count(), 1);
    m_interval_offset = state::duration(static_cast<state::clock::rep>(
        m_random.below(static_cast<std::uint64_t>(bound))));
    m_welcomes_left = m_settings.m_max_welcomes;
    m_version_probes_left = m_settings.m_max_version_probes;
    m_slices_left = 1;
}

std::vector<outgoing_heartbeat> membership::tick(time_point now)
{
    actions out;
    restart_timeouts_after_pause(now);
    check_observed(now);
    if (now >= m_next_interval)
    {
        m_next_interval = std::max(m_next_interval + m_settings.m_interval,
                                   now + m_settings.m_interval / 2) +
                          m_interval_offset;
        m_interval_offset = state::duration::zero();
        m_table.forget(now - m_settings.m_retention);
        send_interval_heartbeats(out);
    }
    send_gossip(out, now);
    return out;
}

void membership::restart_timeouts_after_pause(time_point now)
{
    auto const gap = now - m_last_tick;
    m_last_tick = now;
    if (gap < m_settings.m_pause_threshold)
    {
        return;
    }
    // No message could be received during the pause, so all timeouts restart.
    for (auto& [name, tracked] : m_table.all())
    {
        tracked.m_observed_since = now;
        if (tracked.m_record.m_state == instance_state::suspected)
        {
            tracked.m_state_changed = now;
        }
    }
}

void membership::check_observed(time_point now)
{
    if (m_observed_revision != m_table.revision())
    {
        choose_observed(now);
        m_observed_revision = m_table.revision();
    }
    // Copied, because `evaluate` may change both lists.
    auto names = m_observed;
    names.insert(names.end(), m_table.suspected().begin(),
                 m_table.suspected().end());
    for (auto const& name : names)
    {
        if (auto* tracked = m_table.find(name))
        {
            evaluate(*tracked, now);
        }
    }
}

void membership::evaluate(tracked_instance& tracked, time_point now)
{
    auto const& record = tracked.m_record;
    if (record.m_state == instance_state::suspected &&
        now - tracked.m_state_changed >= m_settings.m_suspicion_timeout)
    {
        set_state(tracked, instance_state::gone, now);
        return;
    }
    auto const since_contact =
        now - std::max(tracked.m_last_heard, tracked.m_observed_since);
    if (record.m_state == instance_state::live && tracked.m_is_observed &&
        since_contact >= m_settings.m_answer_timeout)
    {
        set_state(tracked, instance_state::suspected, now);
    }
}

void membership::set_state(tracked_instance& tracked, instance_state to,
                           time_point now)
{
    instance_record report = tracked.m_record;
    report.m_state = to;
    merge_report(report, now);
}

void membership::choose_observed(time_point now)
{
    std::vector<std::pair<std::uint64_t, tracked_instance*>> ring;
    for (auto& [name, tracked] : m_table.all())
    {
        if (state::is_live(tracked.m_record.m_state))
        {
            ring.emplace_back(tracked.m_name_hash, &tracked);
        }
        else
        {
            tracked.m_is_observed = false;
        }
    }
    std::ranges::sort(ring);
    auto const own = std::pair<std::uint64_t, tracked_instance*>(
        hash_name(m_self.m_name), nullptr);
    auto const start = std::ranges::lower_bound(ring, own) - ring.begin();
    m_observed.clear();
    for (std::size_t step = 0; step < ring.size(); ++step)
    {
        auto const index =
            (static_cast<std::size_t>(start) + step) % ring.size();
        tracked_instance& tracked = *ring[index].second;
        bool const chosen = step < m_settings.m_max_observed;
        if (chosen && !tracked.m_is_observed)
        {
            tracked.m_observed_since = now;
        }
        tracked.m_is_observed = chosen;
        if (chosen)
        {
            m_observed.push_back(tracked.m_record.m_name);
        }
    }
}

void membership::merge_report(instance_record const& report, time_point now)
{
    if (report.m_name == m_self.m_name)
    {
        refute(report);
        return;
    }
    if (m_table.merge(report, now))
    {
        queue_gossip(report.m_name);
    }
}

void membership::refute(instance_record const& report)
{
    bool const newer = report.m_incarnation > m_self.m_incarnation;
    bool const is_contradicted = report.m_incarnation == m_self.m_incarnation &&
                                 report.m_state > m_self.m_state;
    if (!newer && !is_contradicted)
    {
        return;
    }
    m_self.m_incarnation = report.m_incarnation + 1;
    ++m_own_changes;
    queue_gossip(m_self.m_name);
}

void membership::queue_gossip(std::string const& name)
{
    m_gossip.add(name, gossip_repeats(m_table.all().size() + 1));
    m_gossip_pending = true;
}

std::vector<outgoing_heartbeat>
membership::on_heartbeat(heartbeat const& message, time_point now)
{
    actions out;
    if (message.m_sender.m_name == m_self.m_name)
    {
        return out;
    }
    merge_report(message.m_sender, now);
    for (auto const& record : message.m_records)
    {
        if (message.m_kind == heartbeat_kind::welcome &&
            record.m_name != m_self.m_name)
        {
            // Peers have these records already, so they aren't gossiped.
            m_table.merge(record, now);
            continue;
        }
        merge_report(record, now);
    }
    record_contact(message, now);
    if (message.m_kind == heartbeat_kind::welcome)
    {
        m_joined = true;
    }
    reply_to(message, out);
    send_gossip(out, now);
    return out;
}

void membership::record_contact(heartbeat const& message, time_point now)
{
    auto* const tracked = m_table.find(message.m_sender.m_name);
    if (tracked == nullptr)
    {
        return;
    }
    tracked->m_last_heard = now;
    if (message.m_sender.m_incarnation == tracked->m_record.m_incarnation)
    {
        tracked->m_catalogue =
            std::max(tracked->m_catalogue, message.m_held.m_catalogue);
    }
}

void membership::on_platform_list(std::span<instance_record const> list,
                                  time_point now)
{
    std::set<std::string> leaving;
    m_candidates.clear();
    auto& others = m_listed_live.emplace();
    for (auto const& listed : list)
    {
        if (listed.m_state == instance_state::leaving)
        {
            leaving.insert(listed.m_name);
        }
        else if (listed.m_name != m_self.m_name)
        {
            others.insert(listed.m_name);
        }
        auto const* tracked = m_table.find(listed.m_name);
        bool const is_live =
            tracked != nullptr && state::is_live(tracked->m_record.m_state);
        if (listed.m_name != m_self.m_name && !is_live)
        {
            m_candidates.emplace_back(listed.m_name, listed.m_address);
        }
    }
    if (leaving != m_platform_leaving)
    {
        m_platform_leaving = std::move(leaving);
        ++m_own_changes;
    }
    if (!m_joined)
    {
        m_next_interval = std::min(m_next_interval, now);
    }
}

std::vector<outgoing_heartbeat> membership::leave(time_point now)
{
    actions out;
    m_self.m_state = instance_state::leaving;
    ++m_own_changes;
    queue_gossip(m_self.m_name);
    m_next_gossip = now;
    send_gossip(out, now);
    return out;
}

std::optional<time_point>
membership::last_majority_contact(time_point now) const
{
    if (!m_listed_live)
    {
        return std::nullopt;
    }
    std::vector<time_point> heard;
    for (auto const& name : *m_listed_live)
    {
        auto const found = m_table.all().find(name);
        if (found != m_table.all().end() &&
            found->second.m_last_heard != time_point{})
        {
            heard.push_back(found->second.m_last_heard);
        }
    }
    // Instances other than this one that make up a majority with it.
    auto const needed = (m_listed_live->size() + 1) / 2;
    if (needed == 0)
    {
        return now;
    }
    if (heard.size() < needed)
    {
        return std::nullopt;
    }
    std::ranges::sort(heard, std::greater<>());
    return heard[needed - 1] - m_settings.m_interval;
}

bool membership::is_marked_leaving() const
{
    return m_platform_leaving.contains(m_self.m_name);
}

tracked_instance const* membership::find(std::string const& name) const
{
    auto const found = m_table.all().find(name);
    return found == m_table.all().end() ? nullptr : &found->second;
}

std::vector<instance_record> membership::view() const
{
    std::vector<instance_record> result;
    result.reserve(m_table.all().size() + 1);
    result.push_back(m_self);
    for (auto const& [name, tracked] : m_table.all())
    {
        result.push_back(tracked.m_record);
    }
    for (auto& record : result)
    {
        if (state::is_live(record.m_state) &&
            m_platform_leaving.contains(record.m_name))
        {
            record.m_state = instance_state::leaving;
        }
    }
    std::ranges::sort(result, {}, &instance_record::m_name);
    return result;
}

std::vector<instance_record> membership::random_peers(std::size_t count)
{
    std::vector<instance_record const*> live;
    for (auto const& [name, tracked] : m_table.all())
    {
        if (tracked.m_record.m_state == instance_state::live)
        {
            live.push_back(&tracked.m_record);
        }
    }
    std::vector<instance_record> result;
    while (result.size() < count && !live.empty())
    {
        auto const index =
            static_cast<std::size_t>(m_random.below(live.size()));
        result.push_back(*live[index]);
        live[index] = live.back();
        live.pop_back();
    }
    return result;
}

} // namespace camphortide::coordination
