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
      m_table(settings.m_most_records),
      m_last_tick(now),
      m_next_interval(now),
      m_next_push(now)
{
    std::erase(m_seeds, m_self.m_address);
    auto const bound =
        std::max<state::clock::rep>(m_settings.m_interval.count(), 1);
    m_phase = state::duration(static_cast<state::clock::rep>(
        m_random.below(static_cast<std::uint64_t>(bound))));
    m_welcomes_left = m_settings.m_welcomes;
    m_asks_left = m_settings.m_asks;
    m_slices_left = 1;
}

std::vector<heartbeat_to> membership::tick(time_point now)
{
    actions out;
    excuse_pause(now);
    observe(now);
    if (now >= m_next_interval)
    {
        m_next_interval = std::max(m_next_interval + m_settings.m_interval,
                                   now + m_settings.m_interval / 2) +
                          m_phase;
        m_phase = state::duration::zero();
        m_table.forget(now - m_settings.m_retention);
        start_interval(out);
    }
    push(out, now);
    return out;
}

void membership::excuse_pause(time_point now)
{
    auto const gap = now - m_last_tick;
    m_last_tick = now;
    if (gap < m_settings.m_pause)
    {
        return;
    }
    // Nobody could be heard meanwhile: every timeout starts again.
    for (auto& [name, known] : m_table.all())
    {
        known.m_observed = now;
        if (known.m_record.m_state == instance_state::suspected)
        {
            known.m_changed = now;
        }
    }
}

void membership::observe(time_point now)
{
    if (m_observed_revision != m_table.revision())
    {
        choose_observed(now);
        m_observed_revision = m_table.revision();
    }
    // Judging may change both lists.
    auto names = m_observed;
    names.insert(names.end(), m_table.suspected().begin(),
                 m_table.suspected().end());
    for (auto const& name : names)
    {
        if (auto* known = m_table.find(name))
        {
            judge(*known, now);
        }
    }
}

void membership::judge(known_instance& known, time_point now)
{
    auto const& record = known.m_record;
    if (record.m_state == instance_state::suspected &&
        now - known.m_changed >= m_settings.m_suspicion)
    {
        change(known, instance_state::gone, now);
        return;
    }
    auto const quiet = now - std::max(known.m_heard, known.m_observed);
    if (record.m_state == instance_state::live && known.m_is_observed &&
        quiet >= m_settings.m_answer_timeout)
    {
        change(known, instance_state::suspected, now);
    }
}

void membership::change(known_instance& known, instance_state to,
                        time_point now)
{
    instance_record report = known.m_record;
    report.m_state = to;
    learn(report, now);
}

void membership::choose_observed(time_point now)
{
    std::vector<std::pair<std::uint64_t, known_instance*>> ring;
    for (auto& [name, known] : m_table.all())
    {
        if (state::is_live(known.m_record.m_state))
        {
            ring.emplace_back(known.m_hash, &known);
        }
        else
        {
            known.m_is_observed = false;
        }
    }
    std::ranges::sort(ring);
    auto const own = std::pair<std::uint64_t, known_instance*>(
        hash_name(m_self.m_name), nullptr);
    auto const start = std::ranges::lower_bound(ring, own) - ring.begin();
    m_observed.clear();
    for (std::size_t step = 0; step < ring.size(); ++step)
    {
        auto const place =
            (static_cast<std::size_t>(start) + step) % ring.size();
        known_instance& known = *ring[place].second;
        bool const chosen = step < m_settings.m_observed;
        if (chosen && !known.m_is_observed)
        {
            known.m_observed = now;
        }
        known.m_is_observed = chosen;
        if (chosen)
        {
            m_observed.push_back(known.m_record.m_name);
        }
    }
}

void membership::learn(instance_record const& report, time_point now)
{
    if (report.m_name == m_self.m_name)
    {
        object_to(report);
        return;
    }
    if (m_table.merge(report, now))
    {
        spread(report.m_name);
    }
}

void membership::object_to(instance_record const& report)
{
    bool const newer = report.m_incarnation > m_self.m_incarnation;
    bool const doubted = report.m_incarnation == m_self.m_incarnation &&
                         report.m_state > m_self.m_state;
    if (!newer && !doubted)
    {
        return;
    }
    m_self.m_incarnation = report.m_incarnation + 1;
    ++m_own_changes;
    spread(m_self.m_name);
}

void membership::spread(std::string const& name)
{
    m_news.add(name, news_repeats(m_table.all().size() + 1));
    m_urgent = true;
}

std::vector<heartbeat_to> membership::on_heartbeat(heartbeat const& message,
                                                   time_point now)
{
    actions out;
    if (message.m_sender.m_name == m_self.m_name)
    {
        return out;
    }
    learn(message.m_sender, now);
    for (auto const& record : message.m_records)
    {
        if (message.m_kind == heartbeat_kind::welcome &&
            record.m_name != m_self.m_name)
        {
            m_table.merge(record, now); // the others know it
            continue;
        }
        learn(record, now);
    }
    hear(message, now);
    if (message.m_kind == heartbeat_kind::welcome)
    {
        m_joined = true;
    }
    answer(message, out);
    push(out, now);
    return out;
}

void membership::hear(heartbeat const& message, time_point now)
{
    auto* const known = m_table.find(message.m_sender.m_name);
    if (known == nullptr)
    {
        return;
    }
    known->m_heard = now;
    if (message.m_sender.m_incarnation == known->m_record.m_incarnation)
    {
        known->m_catalogue =
            std::max(known->m_catalogue, message.m_held.m_catalogue);
    }
}

void membership::on_platform_list(std::span<instance_record const> list,
                                  time_point now)
{
    std::set<std::string> leaving;
    m_candidates.clear();
    auto& others = m_listed.emplace();
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
        auto const* known = m_table.find(listed.m_name);
        bool const is_live =
            known != nullptr && state::is_live(known->m_record.m_state);
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

std::vector<heartbeat_to> membership::leave(time_point now)
{
    actions out;
    m_self.m_state = instance_state::leaving;
    ++m_own_changes;
    spread(m_self.m_name);
    m_next_push = now;
    push(out, now);
    return out;
}

std::optional<time_point> membership::majority_heard(time_point now) const
{
    if (!m_listed)
    {
        return std::nullopt;
    }
    std::vector<time_point> heard;
    for (auto const& name : *m_listed)
    {
        auto const found = m_table.all().find(name);
        if (found != m_table.all().end() &&
            found->second.m_heard != time_point{})
        {
            heard.push_back(found->second.m_heard);
        }
    }
    auto const needed = (m_listed->size() + 1) / 2; // besides this one
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

bool membership::asked_to_leave() const
{
    return m_platform_leaving.contains(m_self.m_name);
}

known_instance const* membership::find(std::string const& name) const
{
    auto const place = m_table.all().find(name);
    return place == m_table.all().end() ? nullptr : &place->second;
}

std::vector<instance_record> membership::view() const
{
    std::vector<instance_record> result;
    result.reserve(m_table.all().size() + 1);
    result.push_back(m_self);
    for (auto const& [name, known] : m_table.all())
    {
        result.push_back(known.m_record);
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
    for (auto const& [name, known] : m_table.all())
    {
        if (known.m_record.m_state == instance_state::live)
        {
            live.push_back(&known.m_record);
        }
    }
    std::vector<instance_record> result;
    while (result.size() < count && !live.empty())
    {
        auto const place =
            static_cast<std::size_t>(m_random.below(live.size()));
        result.push_back(*live[place]);
        live[place] = live.back();
        live.pop_back();
    }
    return result;
}

} // namespace camphortide::coordination
