#include <algorithm>
#include <functional>
#include <iterator>

#include <camphortide/coordination/request/freshness.hpp>

namespace camphortide::coordination
{

freshness::freshness(std::size_t members) : m_members(members) {}

void freshness::set_members(std::size_t members)
{
    if (members == m_members)
    {
        return;
    }
    m_members = members;
    m_answers.clear();
    m_primary_answers.clear();
}

void freshness::note_probe_sent(std::uint64_t probe, state::time_point now)
{
    m_probes.push_back({probe, now});
    if (m_probes.size() > max_probes)
    {
        m_probes.pop_front();
    }
}

bool freshness::note_status(state::member_status const& status)
{
    if (status.m_probe == 0)
    {
        return false;
    }
    m_answers.insert_or_assign(status.m_member,
                               member_answer{status.m_probe, status.m_granted});
    note_primary(status);
    return confirm();
}

std::optional<state::time_point> freshness::as_of(std::uint64_t index) const
{
    auto const after = std::ranges::upper_bound(m_samples, index, std::less<>(),
                                                &freshness_sample::m_index);
    if (after == m_samples.begin())
    {
        return std::nullopt;
    }
    return std::prev(after)->m_sent;
}

std::optional<state::duration> freshness::age_bound(std::uint64_t index,
                                                    state::time_point now) const
{
    auto const time = as_of(index);
    if (!time)
    {
        return std::nullopt;
    }
    return now - *time + state::duration(1);
}

std::optional<std::uint64_t>
freshness::index_covering(state::time_point time) const
{
    auto const found = std::ranges::lower_bound(m_samples, time, std::less<>(),
                                                &freshness_sample::m_sent);
    if (found == m_samples.end())
    {
        return std::nullopt;
    }
    return found->m_index;
}

std::optional<std::uint64_t>
freshness::required_index(state::duration age, state::time_point now) const
{
    return index_covering(now + state::duration(1) - age);
}

std::optional<state::time_point>
freshness::first_seen(std::uint64_t index) const
{
    auto const found = std::ranges::lower_bound(m_samples, index, std::less<>(),
                                                &freshness_sample::m_index);
    if (found == m_samples.end())
    {
        return std::nullopt;
    }
    return found->m_first_seen;
}

std::optional<freshness_sample> freshness::latest() const
{
    if (m_samples.empty())
    {
        return std::nullopt;
    }
    return m_samples.back();
}

bool freshness::needs_probe(state::time_point since) const
{
    return m_probes.empty() || m_probes.back().m_sent < since;
}

std::optional<freshness::sent_probe>
freshness::find_probe(std::uint64_t number) const
{
    auto const found = std::ranges::lower_bound(m_probes, number, std::less<>(),
                                                &sent_probe::m_number);
    if (found == m_probes.end() || found->m_number != number)
    {
        return std::nullopt;
    }
    return *found;
}

std::optional<state::time_point>
freshness::probe_sent(std::uint64_t probe) const
{
    auto const found = find_probe(probe);
    return found ? std::optional(found->m_sent) : std::nullopt;
}

void freshness::note_primary(state::member_status const& status)
{
    if (status.m_role != state::member_role::primary ||
        status.m_granted != status.m_followed)
    {
        return;
    }
    auto const probe = find_probe(status.m_probe);
    bool const repeated =
        !m_primary_answers.empty() &&
        m_primary_answers.back().m_probe.m_number >= status.m_probe &&
        m_primary_answers.back().m_term == status.m_followed;
    if (!probe || repeated)
    {
        return;
    }
    m_primary_answers.push_back(
        {*probe, status.m_followed, status.m_received.m_index});
    if (m_primary_answers.size() > max_probes)
    {
        m_primary_answers.pop_front();
    }
}

bool freshness::confirm()
{
    auto const newest = std::find_if(
        m_primary_answers.rbegin(), m_primary_answers.rend(),
        [this](primary_answer const& answer) { return confirmed(answer); });
    if (newest == m_primary_answers.rend())
    {
        return false;
    }
    bool const newer =
        m_samples.empty() || m_samples.back().m_sent < newest->m_probe.m_sent;
    if (newer)
    {
        add({newest->m_probe.m_sent, newest->m_index, newest->m_probe.m_sent});
    }
    m_primary_answers.erase(m_primary_answers.begin(), newest.base());
    return newer;
}

bool freshness::confirmed(primary_answer const& answer) const
{
    auto const agreeing = static_cast<std::size_t>(std::ranges::count_if(
        m_answers,
        [&](auto const& entry)
        {
            return entry.second.m_probe >= answer.m_probe.m_number &&
                   entry.second.m_granted == answer.m_term;
        }));
    return agreeing >= m_members / 2 + 1;
}

void freshness::add(freshness_sample sample)
{
    while (!m_samples.empty() && m_samples.back().m_index >= sample.m_index)
    {
        sample.m_first_seen = m_samples.back().m_first_seen;
        m_samples.pop_back();
    }
    m_samples.push_back(sample);
    if (m_samples.size() > max_samples)
    {
        downsample();
    }
}

void freshness::downsample()
{
    std::deque<freshness_sample> remaining;
    std::size_t const old = m_samples.size() / 2;
    for (std::size_t i = 0; i < m_samples.size(); ++i)
    {
        if (i >= old || i % 2 == 0)
        {
            remaining.push_back(m_samples[i]);
        }
    }
    m_samples = std::move(remaining);
}

} // namespace camphortide::coordination
