#include "request_simulation.hpp"

#include <algorithm>
#include <numeric>
#include <string>
#include <utility>

namespace camphortide::standin
{

namespace
{

constexpr std::size_t max_records = 3;

} // namespace

request_simulation::request_simulation(std::uint64_t seed,
                                       broken_request_rule broken)
    : m_random(seed),
      m_broken_rule(broken)
{
    for (std::size_t i = 0; i < members; ++i)
    {
        m_members.emplace_back(std::string(1, static_cast<char>('a' + i)));
    }
    promote();
}

void request_simulation::send(std::size_t home, std::size_t member,
                              std::function<void()> deliver)
{
    m_messages.push_back({home, member, member, std::move(deliver)});
}

void request_simulation::deliver_random()
{
    constexpr int max_attempts = 4;
    for (int i = 0; i < max_attempts && !m_messages.empty(); ++i)
    {
        auto const index = below(m_messages.size());
        if (is_disconnected(m_messages[index]))
        {
            continue;
        }
        std::swap(m_messages[index], m_messages.back());
        auto const value = std::move(m_messages.back());
        m_messages.pop_back();
        value.m_deliver();
        return;
    }
}

void request_simulation::replicate()
{
    auto const from = below(members);
    auto const to = below(members);
    if (from != to)
    {
        replicate_to(from, to);
    }
}

void request_simulation::apply_records()
{
    auto& model = m_members[below(members)];
    model.apply_to(model.status().m_applied.m_index + below(max_records));
}

/// Two or three members grant a new term; the one with the highest log position
/// of them is promoted.
void request_simulation::promote()
{
    std::array<std::size_t, members> order{};
    std::iota(order.begin(), order.end(), std::size_t{0});
    std::shuffle(order.begin(), order.end(), m_random);
    auto const connected =
        std::partition(order.begin(), order.end(),
                       [this](std::size_t member)
                       { return !m_disconnected[no_home][member]; });
    bool const all_grant = connected == order.end() && percent(50);
    std::size_t const grant_count = all_grant ? members : members - 1;
    m_term = m_term.next(below(1000));
    std::string const proposer = std::to_string(m_term.value());
    m_primary = order[0];
    for (std::size_t i = 0; i < grant_count; ++i)
    {
        m_members[order[i]].fence(m_term, proposer);
        auto const best = m_members[m_primary].status().m_received;
        if (m_members[order[i]].status().m_received > best)
        {
            m_primary = order[i];
        }
    }
    m_members[m_primary].promote(m_term, proposer);
    ++m_promotions;
}

void request_simulation::change_connections()
{
    auto& row = m_disconnected[below(homes + 1)];
    row[below(members)] = percent(40);
}

void request_simulation::isolate_primary(std::size_t home)
{
    m_disconnected = {};
    for (std::size_t i = 0; i < members; ++i)
    {
        m_disconnected[home][i] = i != m_primary;
        m_disconnected[1 - home][i] = i == m_primary;
        m_disconnected[no_home][i] = i == m_primary;
    }
}

void request_simulation::crash_member()
{
    m_members[below(members)].restart();
}

void request_simulation::heal()
{
    m_disconnected = {};
    promote();
    constexpr int max_rounds = 2000;
    for (int i = 0; i < max_rounds; ++i)
    {
        for (std::size_t to = 0; to < members; ++to)
        {
            if (to != m_primary)
            {
                replicate_to(m_primary, to);
            }
            m_members[to].apply_to(m_members[to].log().size());
        }
        deliver_random();
        deliver_random();
        deliver_random();
        if (m_messages.empty())
        {
            break;
        }
    }
}

bool request_simulation::is_disconnected(message const& value) const
{
    if (value.m_home != no_home)
    {
        return m_disconnected[value.m_home][value.m_from];
    }
    return m_disconnected[no_home][value.m_from] ||
           m_disconnected[no_home][value.m_to];
}

void request_simulation::replicate_to(std::size_t from, std::size_t to)
{
    auto batch =
        m_members[from].replicate(m_matching_index[from][to], max_records);
    if (!batch)
    {
        return;
    }
    auto deliver = [this, from, to, batch = std::move(*batch)]
    {
        if (auto const matching_index = m_members[to].receive(batch))
        {
            m_matching_index[from][to] = *matching_index;
        }
    };
    m_messages.push_back({no_home, from, to, std::move(deliver)});
}

} // namespace camphortide::standin
