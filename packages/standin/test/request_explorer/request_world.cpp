#include "request_world.hpp"

#include <algorithm>
#include <numeric>
#include <string>
#include <utility>

namespace camphortide::standin
{

namespace
{

constexpr std::size_t most_records = 3;

} // namespace

request_world::request_world(std::uint64_t seed, broken_request_rule broken)
    : m_random(seed),
      m_broken(broken)
{
    for (std::size_t i = 0; i < members; ++i)
    {
        m_members.emplace_back(std::string(1, static_cast<char>('a' + i)));
    }
    promote();
}

void request_world::send(std::size_t home, std::size_t member,
                         std::function<void()> run)
{
    m_messages.push_back({home, member, member, std::move(run)});
}

void request_world::deliver()
{
    constexpr int tries = 4;
    for (int i = 0; i < tries && !m_messages.empty(); ++i)
    {
        auto const place = below(m_messages.size());
        if (is_cut(m_messages[place]))
        {
            continue;
        }
        std::swap(m_messages[place], m_messages.back());
        auto const value = std::move(m_messages.back());
        m_messages.pop_back();
        value.m_run();
        return;
    }
}

void request_world::replicate()
{
    auto const from = below(members);
    auto const to = below(members);
    if (from != to)
    {
        replicate_to(from, to);
    }
}

void request_world::apply()
{
    auto& model = m_members[below(members)];
    model.apply_to(model.status().m_applied.m_index + below(most_records));
}

/// Takes the grants of two or three members in a new term, and promotes the
/// most advanced of them.
void request_world::promote()
{
    std::array<std::size_t, members> order{};
    std::iota(order.begin(), order.end(), std::size_t{0});
    std::shuffle(order.begin(), order.end(), m_random);
    auto const connected = std::partition(order.begin(), order.end(),
                                          [this](std::size_t member)
                                          { return !m_cut[no_home][member]; });
    bool const all = connected == order.end() && percent(50);
    std::size_t const granting = all ? members : members - 1;
    m_term = m_term.next(below(1000));
    std::string const proposer = std::to_string(m_term.value());
    m_leader = order[0];
    for (std::size_t i = 0; i < granting; ++i)
    {
        m_members[order[i]].fence(m_term, proposer);
        auto const best = m_members[m_leader].status().m_received;
        if (m_members[order[i]].status().m_received > best)
        {
            m_leader = order[i];
        }
    }
    m_members[m_leader].promote(m_term, proposer);
    ++m_promotions;
}

void request_world::change_cuts()
{
    auto& row = m_cut[below(homes + 1)];
    row[below(members)] = percent(40);
}

void request_world::isolate(std::size_t home)
{
    m_cut = {};
    for (std::size_t i = 0; i < members; ++i)
    {
        m_cut[home][i] = i != m_leader;
        m_cut[1 - home][i] = i == m_leader;
        m_cut[no_home][i] = i == m_leader;
    }
}

void request_world::crash_member()
{
    m_members[below(members)].restart();
}

void request_world::heal()
{
    m_cut = {};
    promote();
    constexpr int rounds = 2000;
    for (int i = 0; i < rounds; ++i)
    {
        for (std::size_t to = 0; to < members; ++to)
        {
            if (to != m_leader)
            {
                replicate_to(m_leader, to);
            }
            m_members[to].apply_to(m_members[to].log().size());
        }
        deliver();
        deliver();
        deliver();
        if (m_messages.empty())
        {
            break;
        }
    }
}

bool request_world::is_cut(message const& value) const
{
    if (value.m_home != no_home)
    {
        return m_cut[value.m_home][value.m_from];
    }
    return m_cut[no_home][value.m_from] || m_cut[no_home][value.m_to];
}

void request_world::replicate_to(std::size_t from, std::size_t to)
{
    auto piece = m_members[from].replicate(m_matched[from][to], most_records);
    if (!piece)
    {
        return;
    }
    auto run = [this, from, to, piece = std::move(*piece)]
    {
        if (auto const agreed = m_members[to].receive(piece))
        {
            m_matched[from][to] = *agreed;
        }
    };
    m_messages.push_back({no_home, from, to, std::move(run)});
}

} // namespace camphortide::standin
