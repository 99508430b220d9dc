#include "group_simulation.hpp"

#include <algorithm>
#include <utility>

namespace camphortide::standin
{

namespace
{

constexpr std::size_t loss_percent = 6;
constexpr std::size_t duplicate_percent = 4;
constexpr std::size_t max_records = 3;

std::string to_string(node_id node)
{
    return (node.m_kind == node_id::kind::home ? "home " : "member ") +
           std::to_string(node.m_index);
}

} // namespace

group_simulation::group_simulation(std::size_t members, std::uint64_t seed,
                                   broken_rule broken)
    : m_down(members),
      m_last_received(members),
      m_matching_index(members, std::vector<std::uint64_t>(members)),
      m_random(seed),
      m_broken_rule(broken)
{
    for (std::size_t member = 0; member < members; ++member)
    {
        m_members.emplace_back(std::string(1, static_cast<char>('a' + member)));
    }
}

void group_simulation::start_with_primary()
{
    constexpr state::term first{1};
    std::string const proposer = "start";
    for (auto& model : m_members)
    {
        model.fence(first, proposer);
        model.follow(first, m_members.front().name());
    }
    m_members.front().promote(first, proposer);
    member_changed(0);
}

void group_simulation::send(message value)
{
    m_messages.add(std::move(value));
}

void group_simulation::deliver_random()
{
    constexpr int max_attempts = 4;
    for (int attempt = 0; attempt < max_attempts && m_messages.size() > 0;
         ++attempt)
    {
        auto const chosen = m_random.below(m_messages.size());
        auto const& value = m_messages.at(chosen);
        if (is_paused(value.m_to) && !is_crashed_member(value.m_to))
        {
            continue;
        }
        if (!can_arrive(value) ||
            (!m_reliable && m_random.percent(loss_percent)))
        {
            trace(std::string("lost ") + value.m_name);
            m_messages.take(chosen);
            return;
        }
        if (!m_reliable && value.m_may_duplicate &&
            m_random.percent(duplicate_percent))
        {
            auto const copy = value;
            deliver(copy);
            return;
        }
        deliver(m_messages.take(chosen));
        return;
    }
}

void group_simulation::deliver(message const& value)
{
    if (m_tracing)
    {
        trace(std::string("delivered ") + value.m_name + " from " +
              to_string(value.m_from) + " to " + to_string(value.m_to));
    }
    value.m_deliver();
    if (value.m_to.m_kind == node_id::kind::member)
    {
        member_changed(value.m_to.m_index);
    }
}

void group_simulation::replicate(std::size_t from, std::size_t to)
{
    auto& after = m_matching_index[from][to];
    auto batch = m_members[from].replicate(after, max_records);
    if (!batch || m_down[from] || from == to ||
        is_paused({node_id::kind::member, from}))
    {
        return;
    }
    node_id const source{node_id::kind::member, from};
    node_id const target{node_id::kind::member, to};
    auto const receive =
        [this, from, to, source, target, batch = std::move(*batch)]
    {
        auto const matching_index = m_members[to].receive(batch);
        if (!matching_index)
        {
            return;
        }
        m_last_received[to] = m_now;
        send({target, source, "replication reply", true,
              [this, from, to, index = *matching_index]
              {
                  m_matching_index[from][to] = index;
              }});
    };
    send({source, target, "replication", true, receive});
}

void group_simulation::apply_records(std::size_t member)
{
    auto& model = m_members[member];
    auto const applied = model.status().m_applied.m_index;
    model.apply_to(applied + m_random.below(3));
}

void group_simulation::crash(std::size_t member)
{
    trace("crashed member " + std::to_string(member));
    m_down[member] = true;
}

void group_simulation::start(std::size_t member)
{
    if (!m_down[member])
    {
        return;
    }
    trace("started member " + std::to_string(member));
    m_down[member] = false;
    m_members[member].restart();
    m_last_received[member] = m_now;
}

void group_simulation::disconnect(node_id left, node_id right)
{
    trace("disconnected " + to_string(left) + " from " + to_string(right));
    m_disconnected.insert(std::minmax(left, right));
}

void group_simulation::heal()
{
    trace("healed");
    m_disconnected.clear();
    m_paused.clear();
    for (std::size_t member = 0; member < m_members.size(); ++member)
    {
        start(member);
    }
}

void group_simulation::member_changed(std::size_t member)
{
    m_checker.check_member(member, m_members[member]);
}

state::member_status group_simulation::status(std::size_t member,
                                              std::uint64_t probe) const
{
    auto result = m_members[member].status();
    result.m_probe = probe;
    result.m_primary_silence = result.m_role == state::member_role::primary
                                   ? state::duration(0)
                                   : m_now - m_last_received[member];
    return result;
}

std::size_t group_simulation::index_of(std::string const& name) const
{
    return static_cast<std::size_t>(name.front() - 'a');
}

std::vector<std::string> group_simulation::member_names() const
{
    std::vector<std::string> result;
    for (auto const& model : m_members)
    {
        result.push_back(model.name());
    }
    return result;
}

void group_simulation::trace(std::string text)
{
    if (m_tracing)
    {
        m_events.push_back(std::to_string(m_now.time_since_epoch().count()) +
                           " ms: " + std::move(text));
    }
}

bool group_simulation::can_arrive(message const& value) const
{
    return !is_crashed_member(value.m_to) &&
           !is_disconnected(value.m_from, value.m_to);
}

bool group_simulation::is_crashed_member(node_id node) const
{
    return node.m_kind == node_id::kind::member && m_down[node.m_index];
}

bool group_simulation::is_disconnected(node_id left, node_id right) const
{
    return m_disconnected.contains(std::minmax(left, right));
}

} // namespace camphortide::standin
