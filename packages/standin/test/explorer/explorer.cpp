#include "explorer.hpp"

#include <algorithm>
#include <memory>

namespace camphortide::standin
{

namespace
{

constexpr std::size_t steps = 1000;
constexpr std::size_t rest_rounds = 800;
constexpr state::duration round_time{5};

} // namespace

explorer::weighted const explorer::operations[] = {
    {100, &explorer::move_messages},
    {24, &explorer::advance},
    {20, &explorer::replicate},
    {10, &explorer::apply},
    {10, &explorer::write},
    {10, &explorer::read},
    {2, &explorer::give_up},
    {6, &explorer::ask},
    {2, &explorer::fault},
    {1, &explorer::home_fault},
    {1, &explorer::isolate},
    {1, &explorer::may_heal},
    {1, &explorer::drain}};

explorer::explorer(std::uint64_t seed, broken_rule broken)
    : m_world(seed % 4 == 0 ? 5 : 3, seed, broken),
      m_client(m_world, m_homes)
{
    std::size_t const homes = 2 + seed % 2;
    for (std::size_t home = 0; home < homes; ++home)
    {
        m_homes.push_back(std::make_unique<explorer_home>(m_world, home));
    }
    constexpr std::size_t write_percent[] = {100, 40, 12};
    m_client.m_write_percent = write_percent[seed % 3];
    m_client.m_readers = seed % 3 == 0 ? 0 : 1;
    constexpr std::uint64_t without_primary = 8;
    if (seed % without_primary != 0)
    {
        m_world.lead_at_first();
    }
}

std::optional<promise> explorer::run()
{
    auto& checker = m_world.checker();
    for (std::size_t count = 0; count < steps && !checker.violation(); ++count)
    {
        step();
        poll();
    }
    if (!checker.violation())
    {
        converge();
    }
    return checker.violation();
}

void explorer::step()
{
    std::size_t total = 0;
    for (auto const& choice : operations)
    {
        total += choice.m_weight;
    }
    auto drawn = m_world.random().below(total);
    for (auto const& choice : operations)
    {
        if (drawn < choice.m_weight)
        {
            (this->*choice.m_run)();
            return;
        }
        drawn -= choice.m_weight;
    }
}

void explorer::move_messages()
{
    constexpr std::size_t most = 6;
    for (auto count = 1 + m_world.random().below(most); count > 0; --count)
    {
        m_world.move_message();
    }
}

void explorer::advance()
{
    constexpr std::size_t longest = 3;
    m_world.advance(state::duration(
        static_cast<state::clock::rep>(1 + m_world.random().below(longest))));
    for (auto const& home : m_homes)
    {
        if (!m_world.is_paused({party::kind::home, home->index()}))
        {
            home->tick();
        }
    }
}

void explorer::replicate()
{
    for (std::size_t from = 0; from < m_world.size(); ++from)
    {
        m_world.replicate(from, m_world.random().below(m_world.size()));
    }
}

void explorer::apply()
{
    m_world.apply_some(m_world.random().below(m_world.size()));
}

void explorer::fault()
{
    auto& random = m_world.random();
    auto const member = random.below(m_world.size());
    party const who{party::kind::member, member};
    switch (random.below(5))
    {
    case 0:
        m_world.crash(member);
        break;
    case 1:
        m_world.start(member);
        break;
    case 2:
        m_world.pause(who);
        break;
    case 3:
        m_world.cut(who, {party::kind::member, random.below(m_world.size())});
        break;
    default:
        m_world.cut(who, {party::kind::home, random.below(m_homes.size())});
        break;
    }
    m_world.changed(member);
}

void explorer::isolate()
{
    party const member{party::kind::member, leader().value_or(0)};
    party const home{party::kind::home, m_world.random().below(m_homes.size())};
    for (std::size_t index = 0; index < m_world.size(); ++index)
    {
        party const other{party::kind::member, index};
        if (other != member)
        {
            m_world.cut(member, other);
            m_world.cut(home, other);
        }
    }
    for (std::size_t index = 0; index < m_homes.size(); ++index)
    {
        party const other{party::kind::home, index};
        if (other != home)
        {
            m_world.cut(member, other);
        }
    }
}

void explorer::home_fault()
{
    auto& random = m_world.random();
    auto const home = random.below(m_homes.size());
    party const who{party::kind::home, home};
    switch (random.below(4))
    {
    case 0:
        m_world.trace("restart home " + std::to_string(home));
        m_client.home_lost(home);
        m_homes[home]->restart();
        break;
    case 1:
        m_world.pause(who);
        break;
    case 2:
        m_world.wake(who);
        break;
    default:
        m_homes[home]->request_switchover();
        break;
    }
}

void explorer::may_heal()
{
    constexpr std::size_t chance = 35;
    if (m_world.random().percent(chance))
    {
        heal();
    }
}

void explorer::heal()
{
    m_world.heal();
    for (std::size_t member = 0; member < m_world.size(); ++member)
    {
        m_world.changed(member);
    }
}

void explorer::drain()
{
    m_homes[m_world.random().below(m_homes.size())]->drain();
}

void explorer::poll()
{
    for (std::size_t home = 0; home < m_homes.size(); ++home)
    {
        if (!m_world.is_paused({party::kind::home, home}))
        {
            m_client.pump(home);
        }
    }
}

void explorer::converge()
{
    heal();
    m_world.m_reliable = true;
    m_client.break_connections();
    for (std::size_t round = 0; round < rest_rounds; ++round)
    {
        m_world.advance(round_time);
        for (auto const& home : m_homes)
        {
            home->tick();
            home->drain();
        }
        for (std::size_t from = 0; from < m_world.size(); ++from)
        {
            for (std::size_t to = 0; to < m_world.size(); ++to)
            {
                m_world.replicate(from, to);
            }
        }
        for (auto count = m_world.in_flight(); count > 0; --count)
        {
            m_world.move_message();
        }
        poll();
        m_client.ask();
        if (is_at_rest())
        {
            m_world.checker().finish(m_world.member(*leader()).log());
            return;
        }
    }
    trace_state();
    m_world.checker().broken(promise::agreement);
}

void explorer::trace_state()
{
    for (std::size_t member = 0; member < m_world.size(); ++member)
    {
        auto const held = m_world.status(member, 0);
        m_world.trace("member " + held.m_member + " role " +
                      std::to_string(static_cast<int>(held.m_role)) +
                      " granted " + std::to_string(held.m_granted.value()) +
                      " followed " + std::to_string(held.m_followed.value()) +
                      " received " +
                      std::to_string(held.m_received.m_term.value()) + ":" +
                      std::to_string(held.m_received.m_index));
    }
    for (auto const& home : m_homes)
    {
        auto const& known = home->monitor().primary();
        m_world.trace("home " + std::to_string(home->index()) + " uses " +
                      (known ? known->m_member : "none"));
    }
    m_world.trace(m_client.is_open() ? "a request is open" : "none is open");
}

bool explorer::is_at_rest()
{
    auto const primary = leader();
    if (!primary || m_client.is_open())
    {
        return false;
    }
    auto& model = m_world.member(*primary);
    for (auto const& home : m_homes)
    {
        auto const& known = home->monitor().primary();
        if (!known || known->m_term != model.followed())
        {
            return false;
        }
    }
    for (std::size_t member = 0; member < m_world.size(); ++member)
    {
        if (m_world.member(member).log() != model.log())
        {
            return false;
        }
    }
    return true;
}

std::optional<std::size_t> explorer::leader()
{
    std::optional<std::size_t> best;
    for (std::size_t member = 0; member < m_world.size(); ++member)
    {
        auto const& model = m_world.member(member);
        if (model.role() == state::member_role::primary &&
            (!best || m_world.member(*best).followed() < model.followed()))
        {
            best = member;
        }
    }
    return best;
}

} // namespace camphortide::standin
