#include <algorithm>
#include <array>

#include <camphortide/standin/platform/call_gate.hpp>

namespace camphortide::standin
{

namespace
{

constexpr std::int64_t thousandths_per_call = 1000;

} // namespace

bool call_gate::allowance::take(state::time_point now)
{
    if (m_rate == 0)
    {
        return true;
    }
    std::int64_t const most = thousandths_per_call * m_rate;
    auto const elapsed =
        std::min<std::int64_t>((now - m_filled).count(),
                               state::duration(thousandths_per_call).count());
    m_thousandths = std::min(most, m_thousandths + elapsed * m_rate);
    m_filled = now;
    if (m_thousandths < thousandths_per_call)
    {
        return false;
    }
    m_thousandths -= thousandths_per_call;
    return true;
}

void call_gate::set_rates(platform_rates rates)
{
    m_reads = {rates.m_reads, thousandths_per_call * rates.m_reads, {}};
    m_writes = {rates.m_writes, thousandths_per_call * rates.m_writes, {}};
}

gate_answer call_gate::admit(platform_call call, state::time_point now)
{
    if (m_outage)
    {
        ++m_counts.m_refused;
        return gate_answer::outage;
    }
    bool const write =
        call == platform_call::put || call == platform_call::erase;
    if (!(write ? m_writes : m_reads).take(now))
    {
        ++m_counts.m_refused;
        return gate_answer::rate_limited;
    }
    count(call);
    return gate_answer::admitted;
}

void call_gate::count(platform_call call)
{
    static constexpr std::array<std::uint64_t platform_counts::*, 6> counters{
        &platform_counts::m_gets,    &platform_counts::m_lists,
        &platform_counts::m_puts,    &platform_counts::m_erases,
        &platform_counts::m_watches, &platform_counts::m_instance_lists};
    ++(m_counts.*counters.at(static_cast<std::size_t>(call)));
    if (call == platform_call::watch)
    {
        ++m_counts.m_open_watches;
    }
}

} // namespace camphortide::standin
