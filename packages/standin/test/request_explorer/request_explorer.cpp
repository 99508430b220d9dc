#include "request_explorer.hpp"

namespace camphortide::standin
{

namespace
{

constexpr std::size_t steps = 1500;
constexpr std::size_t advance_range_ms = 12;

} // namespace

request_explorer::weighted_operation const request_explorer::operations[] = {
    {200, &request_explorer::deliver_message},
    {36, &request_explorer::replicate},
    {12, &request_explorer::apply_records},
    {14, &request_explorer::advance_time},
    {8, &request_explorer::probe},
    {4, &request_explorer::start_write},
    {10, &request_explorer::start_read},
    {2, &request_explorer::query_or_resend},
    {2, &request_explorer::lose_connection},
    {2, &request_explorer::promote},
    {1, &request_explorer::change_connections},
    {1, &request_explorer::isolate_primary},
    {1, &request_explorer::connect_all},
    {1, &request_explorer::crash_member},
    {1, &request_explorer::crash_home}};

request_explorer::request_explorer(std::uint64_t seed,
                                   broken_request_rule broken)
    : m_simulation(seed, broken),
      m_callers(m_simulation),
      m_single_writer(m_simulation.percent(50))
{
    for (std::size_t i = 0; i < request_simulation::homes; ++i)
    {
        m_homes[i] = std::make_shared<request_home>(m_simulation, i, m_callers);
    }
}

request_guarantee request_explorer::run()
{
    for (std::size_t i = 0; i < steps; ++i)
    {
        step();
    }
    m_simulation.heal();
    m_callers.finish(m_simulation.member(m_simulation.primary()).log());
    return m_callers.violation();
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
    auto draw = m_simulation.below(total);
    for (auto const& entry : operations)
    {
        if (draw < entry.m_weight)
        {
            (this->*entry.m_operation)();
            return;
        }
        draw -= entry.m_weight;
    }
}

/// In most cases the other members get a new primary. The home that is isolated
/// with the former primary is not informed of it.
void request_explorer::isolate_primary()
{
    m_simulation.isolate_primary(
        m_single_writer ? 1 : m_simulation.below(request_simulation::homes));
    if (m_simulation.percent(70))
    {
        m_simulation.promote();
    }
}

void request_explorer::crash_home()
{
    if (!m_simulation.percent(30))
    {
        return;
    }
    auto const index = m_simulation.below(request_simulation::homes);
    m_callers.home_lost(*m_homes[index]);
    m_homes[index] =
        std::make_shared<request_home>(m_simulation, index, m_callers);
}

void request_explorer::advance_time()
{
    m_simulation.advance_time(m_simulation.below(advance_range_ms));
    for (auto const& home : m_homes)
    {
        home->expire();
    }
}

request_home& request_explorer::random_write_home()
{
    return m_single_writer ? *m_homes.front() : random_home();
}

request_home& request_explorer::random_home()
{
    return *m_homes[m_simulation.below(request_simulation::homes)];
}

} // namespace camphortide::standin
