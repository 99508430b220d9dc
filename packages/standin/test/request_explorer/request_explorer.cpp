#include "request_explorer.hpp"

namespace camphortide::standin
{

namespace
{

constexpr std::size_t steps = 1500;
constexpr std::size_t longest_advance_ms = 12;

} // namespace

request_explorer::weighted const request_explorer::operations[] = {
    {200, &request_explorer::deliver},
    {36, &request_explorer::replicate},
    {12, &request_explorer::apply},
    {14, &request_explorer::advance},
    {8, &request_explorer::probe},
    {4, &request_explorer::write},
    {10, &request_explorer::read},
    {2, &request_explorer::ask},
    {2, &request_explorer::lose_connection},
    {2, &request_explorer::promote},
    {1, &request_explorer::cut},
    {1, &request_explorer::isolate},
    {1, &request_explorer::connect},
    {1, &request_explorer::crash_member},
    {1, &request_explorer::crash_home}};

request_explorer::request_explorer(std::uint64_t seed,
                                   broken_request_rule broken)
    : m_world(seed, broken),
      m_callers(m_world),
      m_one_writes(m_world.percent(50))
{
    for (std::size_t i = 0; i < request_world::homes; ++i)
    {
        m_homes[i] = std::make_shared<request_home>(m_world, i, m_callers);
    }
}

request_promise request_explorer::run()
{
    for (std::size_t i = 0; i < steps; ++i)
    {
        step();
    }
    m_world.heal();
    m_callers.finish(m_world.member(m_world.leader()).log());
    return m_callers.broken();
}

void request_explorer::step()
{
    static std::size_t const total = []
    {
        std::size_t sum = 0;
        for (auto const& entry : operations)
        {
            sum += entry.m_weight;
        }
        return sum;
    }();
    auto draw = m_world.below(total);
    for (auto const& entry : operations)
    {
        if (draw < entry.m_weight)
        {
            (this->*entry.m_run)();
            return;
        }
        draw -= entry.m_weight;
    }
}

/// Mostly the others get a primary of their own, which the home that is cut
/// off with the former one does not learn of.
void request_explorer::isolate()
{
    m_world.isolate(m_one_writes ? 1 : m_world.below(request_world::homes));
    if (m_world.percent(70))
    {
        m_world.promote();
    }
}

void request_explorer::crash_home()
{
    if (!m_world.percent(30))
    {
        return;
    }
    auto const place = m_world.below(request_world::homes);
    m_callers.home_lost(*m_homes[place]);
    m_homes[place] = std::make_shared<request_home>(m_world, place, m_callers);
}

void request_explorer::advance()
{
    m_world.advance(m_world.below(longest_advance_ms));
    for (auto const& home : m_homes)
    {
        home->expire();
    }
}

request_home& request_explorer::writing_home()
{
    return m_one_writes ? *m_homes.front() : home();
}

request_home& request_explorer::home()
{
    return *m_homes[m_world.below(request_world::homes)];
}

} // namespace camphortide::standin
