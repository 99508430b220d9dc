#include "group_world.hpp"

#include <algorithm>
#include <utility>

namespace camphortide::standin
{

namespace
{

constexpr std::size_t loss_percent = 6;
constexpr std::size_t repeat_percent = 4;
constexpr std::size_t most_records = 3;

std::string to_string(party who)
{
    return (who.m_kind == party::kind::home ? "home " : "member ") +
           std::to_string(who.m_index);
}

} // namespace

group_world::group_world(std::size_t members, std::uint64_t seed,
                         broken_rule broken)
    : m_down(members),
      m_heard(members),
      m_matched(members, std::vector<std::uint64_t>(members)),
      m_random(seed),
      m_broken(broken)
{
    for (std::size_t member = 0; member < members; ++member)
    {
        m_members.emplace_back(std::string(1, static_cast<char>('a' + member)));
    }
}

void group_world::lead_at_first()
{
    constexpr state::term first{1};
    std::string const proposer = "start";
    for (auto& model : m_members)
    {
        model.fence(first, proposer);
        model.follow(first, m_members.front().name());
    }
    m_members.front().promote(first, proposer);
    changed(0);
}

void group_world::send(message value)
{
    m_bag.add(std::move(value));
}

void group_world::move_message()
{
    constexpr int tries = 4;
    for (int attempt = 0; attempt < tries && m_bag.size() > 0; ++attempt)
    {
        auto const chosen = m_random.below(m_bag.size());
        auto const& value = m_bag.at(chosen);
        if (is_paused(value.m_to) && !is_dead(value.m_to))
        {
            continue;
        }
        if (!arrives(value) || (!m_reliable && m_random.percent(loss_percent)))
        {
            trace(std::string("lose ") + value.m_name);
            m_bag.take(chosen);
            return;
        }
        if (!m_reliable && value.m_may_repeat &&
            m_random.percent(repeat_percent))
        {
            auto const copy = value;
            deliver(copy);
            return;
        }
        deliver(m_bag.take(chosen));
        return;
    }
}

void group_world::deliver(message const& value)
{
    if (m_tracing)
    {
        trace(std::string("deliver ") + value.m_name + " from " +
              to_string(value.m_from) + " to " + to_string(value.m_to));
    }
    value.m_deliver();
    if (value.m_to.m_kind == party::kind::member)
    {
        changed(value.m_to.m_index);
    }
}

void group_world::replicate(std::size_t from, std::size_t to)
{
    auto& after = m_matched[from][to];
    auto piece = m_members[from].replicate(after, most_records);
    if (!piece || m_down[from] || from == to ||
        is_paused({party::kind::member, from}))
    {
        return;
    }
    party const source{party::kind::member, from};
    party const target{party::kind::member, to};
    auto const receive =
        [this, from, to, source, target, piece = std::move(*piece)]
    {
        auto const agreed = m_members[to].receive(piece);
        if (!agreed)
        {
            return;
        }
        m_heard[to] = m_now;
        send({target, source, "replication reply", true,
              [this, from, to, index = *agreed]
              {
                  m_matched[from][to] = index;
              }});
    };
    send({source, target, "replication", true, receive});
}

void group_world::apply_some(std::size_t member)
{
    auto& model = m_members[member];
    auto const applied = model.status().m_applied.m_index;
    model.apply_to(applied + m_random.below(3));
}

void group_world::crash(std::size_t member)
{
    trace("crash member " + std::to_string(member));
    m_down[member] = true;
}

void group_world::start(std::size_t member)
{
    if (!m_down[member])
    {
        return;
    }
    trace("start member " + std::to_string(member));
    m_down[member] = false;
    m_members[member].restart();
    m_heard[member] = m_now;
}

void group_world::cut(party left, party right)
{
    trace("cut " + to_string(left) + " from " + to_string(right));
    m_cuts.insert(std::minmax(left, right));
}

void group_world::heal()
{
    trace("heal");
    m_cuts.clear();
    m_paused.clear();
    for (std::size_t member = 0; member < m_members.size(); ++member)
    {
        start(member);
    }
}

void group_world::changed(std::size_t member)
{
    m_checker.look_at(member, m_members[member]);
}

state::member_status group_world::status(std::size_t member,
                                         std::uint64_t probe) const
{
    auto result = m_members[member].status();
    result.m_probe = probe;
    result.m_primary_silence = result.m_role == state::member_role::primary
                                   ? state::duration(0)
                                   : m_now - m_heard[member];
    return result;
}

std::size_t group_world::index_of(std::string const& name) const
{
    return static_cast<std::size_t>(name.front() - 'a');
}

std::vector<std::string> group_world::names() const
{
    std::vector<std::string> result;
    for (auto const& model : m_members)
    {
        result.push_back(model.name());
    }
    return result;
}

void group_world::trace(std::string text)
{
    if (m_tracing)
    {
        m_events.push_back(std::to_string(m_now.time_since_epoch().count()) +
                           " ms: " + std::move(text));
    }
}

bool group_world::arrives(message const& value) const
{
    return !is_dead(value.m_to) && !is_cut(value.m_from, value.m_to);
}

bool group_world::is_dead(party who) const
{
    return who.m_kind == party::kind::member && m_down[who.m_index];
}

bool group_world::is_cut(party left, party right) const
{
    return m_cuts.contains(std::minmax(left, right));
}

} // namespace camphortide::standin
