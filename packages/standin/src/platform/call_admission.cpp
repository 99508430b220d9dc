#include <algorithm>
#include <array>

#include <camphortide/standin/platform/call_admission.hpp>

namespace camphortide::standin
{

namespace
{

constexpr std::int64_t millitokens_per_call = 1000;

} // namespace

bool call_admission::token_bucket::try_take(state::time_point now)
{
    if (m_rate == 0)
    {
        return true;
    }
    std::int64_t const capacity = millitokens_per_call * m_rate;
    auto const elapsed =
        std::min<std::int64_t>((now - m_refilled_at).count(),
                               state::duration(millitokens_per_call).count());
    m_millitokens = std::min(capacity, m_millitokens + elapsed * m_rate);
    m_refilled_at = now;
    if (m_millitokens < millitokens_per_call)
    {
        return false;
    }
    m_millitokens -= millitokens_per_call;
    return true;
}

void call_admission::set_rates(platform_rates rates)
{
    m_reads = {rates.m_reads, millitokens_per_call * rates.m_reads, {}};
    m_writes = {rates.m_writes, millitokens_per_call * rates.m_writes, {}};
}

call_decision call_admission::admit(platform_call call, state::time_point now)
{
    if (m_outage)
    {
        ++m_counts.m_refused;
        return call_decision::outage;
    }
    bool const write =
        call == platform_call::put || call == platform_call::erase;
    if (!(write ? m_writes : m_reads).try_take(now))
    {
        ++m_counts.m_refused;
        return call_decision::rate_limited;
    }
    count(call);
    return call_decision::admitted;
}

void call_admission::count(platform_call call)
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
