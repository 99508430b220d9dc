#include "explorer.hpp"

#include <algorithm>
#include <memory>

namespace camphortide::standin
{

namespace
{

constexpr std::size_t steps = 1000;
constexpr std::size_t max_convergence_rounds = 800;
constexpr state::duration round_duration{5};

} // namespace

explorer::weighted_operation const explorer::operations[] = {
    {100, &explorer::deliver_messages}, {24, &explorer::advance_time},
    {20, &explorer::replicate},         {10, &explorer::apply_records},
    {10, &explorer::start_write},       {10, &explorer::start_read},
    {2, &explorer::interrupt_request},  {6, &explorer::query_outcome},
    {2, &explorer::inject_fault},       {1, &explorer::inject_home_fault},
    {1, &explorer::isolate_primary},    {1, &explorer::maybe_heal},
    {1, &explorer::report_drained}};

explorer::explorer(std::uint64_t seed, broken_rule broken)
    : m_simulation(seed % 4 == 0 ? 5 : 3, seed, broken),
      m_client(m_simulation, m_homes)
{
    std::size_t const home_count = 2 + seed % 2;
    for (std::size_t home = 0; home < home_count; ++home)
    {
        m_homes.push_back(std::make_unique<explorer_home>(m_simulation, home));
    }
    constexpr std::size_t write_percent[] = {100, 40, 12};
    m_client.m_write_percent = write_percent[seed % 3];
    m_client.m_read_only_homes = seed % 3 == 0 ? 0 : 1;
    constexpr std::uint64_t no_primary_divisor = 8;
    if (seed % no_primary_divisor != 0)
    {
        m_simulation.start_with_primary();
    }
}

std::optional<guarantee> explorer::run()
{
    auto& checker = m_simulation.checker();
    for (std::size_t count = 0; count < steps && !checker.violation(); ++count)
    {
        step();
        process_homes();
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
    auto draw = m_simulation.random().below(total);
    for (auto const& choice : operations)
    {
        if (draw < choice.m_weight)
        {
            (this->*choice.m_operation)();
            return;
        }
        draw -= choice.m_weight;
    }
}

void explorer::deliver_messages()
{
    constexpr std::size_t max_messages = 6;
    for (auto count = 1 + m_simulation.random().below(max_messages); count > 0;
         --count)
    {
        m_simulation.deliver_random();
    }
}

void explorer::advance_time()
{
    constexpr std::size_t max_advance_ms = 3;
    m_simulation.advance_time(state::duration(static_cast<state::clock::rep>(
        1 + m_simulation.random().below(max_advance_ms))));
    for (auto const& home : m_homes)
    {
        if (!m_simulation.is_paused({node_id::kind::home, home->index()}))
        {
            home->tick();
        }
    }
}

void explorer::replicate()
{
    for (std::size_t from = 0; from < m_simulation.size(); ++from)
    {
        m_simulation.replicate(
            from, m_simulation.random().below(m_simulation.size()));
    }
}

void explorer::apply_records()
{
    m_simulation.apply_records(
        m_simulation.random().below(m_simulation.size()));
}

void explorer::inject_fault()
{
    auto& random = m_simulation.random();
    auto const member = random.below(m_simulation.size());
    node_id const node{node_id::kind::member, member};
    switch (random.below(5))
    {
    case 0:
        m_simulation.crash(member);
        break;
    case 1:
        m_simulation.start(member);
        break;
    case 2:
        m_simulation.pause(node);
        break;
    case 3:
        m_simulation.disconnect(
            node, {node_id::kind::member, random.below(m_simulation.size())});
        break;
    default:
        m_simulation.disconnect(
            node, {node_id::kind::home, random.below(m_homes.size())});
        break;
    }
    m_simulation.member_changed(member);
}

void explorer::isolate_primary()
{
    node_id const member{node_id::kind::member, current_primary().value_or(0)};
    node_id const home{node_id::kind::home,
                       m_simulation.random().below(m_homes.size())};
    for (std::size_t index = 0; index < m_simulation.size(); ++index)
    {
        node_id const other{node_id::kind::member, index};
        if (other != member)
        {
            m_simulation.disconnect(member, other);
            m_simulation.disconnect(home, other);
        }
    }
    for (std::size_t index = 0; index < m_homes.size(); ++index)
    {
        node_id const other{node_id::kind::home, index};
        if (other != home)
        {
            m_simulation.disconnect(member, other);
        }
    }
}

void explorer::inject_home_fault()
{
    auto& random = m_simulation.random();
    auto const home = random.below(m_homes.size());
    node_id const node{node_id::kind::home, home};
    switch (random.below(4))
    {
    case 0:
        m_simulation.trace("restarted home " + std::to_string(home));
        m_client.home_lost(home);
        m_homes[home]->restart();
        break;
    case 1:
        m_simulation.pause(node);
        break;
    case 2:
        m_simulation.resume(node);
        break;
    default:
        m_homes[home]->request_switchover();
        break;
    }
}

void explorer::maybe_heal()
{
    constexpr std::size_t heal_percent = 35;
    if (m_simulation.random().percent(heal_percent))
    {
        heal();
    }
}

void explorer::heal()
{
    m_simulation.heal();
    for (std::size_t member = 0; member < m_simulation.size(); ++member)
    {
        m_simulation.member_changed(member);
    }
}

void explorer::report_drained()
{
    m_homes[m_simulation.random().below(m_homes.size())]->report_drained();
}

void explorer::process_homes()
{
    for (std::size_t home = 0; home < m_homes.size(); ++home)
    {
        if (!m_simulation.is_paused({node_id::kind::home, home}))
        {
            m_client.process_home(home);
        }
    }
}

void explorer::converge()
{
    heal();
    m_simulation.m_reliable = true;
    m_client.break_connections();
    for (std::size_t round = 0; round < max_convergence_rounds; ++round)
    {
        m_simulation.advance_time(round_duration);
        for (auto const& home : m_homes)
        {
            home->tick();
            home->report_drained();
        }
        for (std::size_t from = 0; from < m_simulation.size(); ++from)
        {
            for (std::size_t to = 0; to < m_simulation.size(); ++to)
            {
                m_simulation.replicate(from, to);
            }
        }
        for (auto count = m_simulation.in_flight(); count > 0; --count)
        {
            m_simulation.deliver_random();
        }
        process_homes();
        m_client.query_outcome();
        if (has_converged())
        {
            m_simulation.checker().finish(
                m_simulation.member(*current_primary()).log());
            return;
        }
    }
    trace_state();
    m_simulation.checker().note_violation(guarantee::convergence);
}

void explorer::trace_state()
{
    for (std::size_t member = 0; member < m_simulation.size(); ++member)
    {
        auto const status = m_simulation.status(member, 0);
        m_simulation.trace(
            "member " + status.m_member + " role " +
            std::to_string(static_cast<int>(status.m_role)) + " granted " +
            std::to_string(status.m_granted.value()) + " followed " +
            std::to_string(status.m_followed.value()) + " received " +
            std::to_string(status.m_received.m_term.value()) + ":" +
            std::to_string(status.m_received.m_index));
    }
    for (auto const& home : m_homes)
    {
        auto const& known = home->monitor().primary();
        m_simulation.trace("home " + std::to_string(home->index()) +
                           " has primary " +
                           (known ? known->m_member : "none"));
    }
    m_simulation.trace(m_client.is_open() ? "requests without result"
                                          : "all requests have a result");
}

bool explorer::has_converged()
{
    auto const primary = current_primary();
    if (!primary || m_client.is_open())
    {
        return false;
    }
    auto& model = m_simulation.member(*primary);
    for (auto const& home : m_homes)
    {
        auto const& known = home->monitor().primary();
        if (!known || known->m_term != model.followed())
        {
            return false;
        }
    }
    for (std::size_t member = 0; member < m_simulation.size(); ++member)
    {
        if (m_simulation.member(member).log() != model.log())
        {
            return false;
        }
    }
    return true;
}

std::optional<std::size_t> explorer::current_primary()
{
    std::optional<std::size_t> best;
    for (std::size_t member = 0; member < m_simulation.size(); ++member)
    {
        auto const& model = m_simulation.member(member);
        if (model.role() == state::member_role::primary &&
            (!best || m_simulation.member(*best).followed() < model.followed()))
        {
            best = member;
        }
    }
    return best;
}

} // namespace camphortide::standin
