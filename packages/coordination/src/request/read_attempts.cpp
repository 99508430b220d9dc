#include <algorithm>

#include <camphortide/coordination/request/read_attempts.hpp>
#include <camphortide/coordination/request/read_router.hpp>

namespace camphortide::coordination
{

namespace
{

/// Maximum duration of the first attempt as a multiple of the expected time.
constexpr int attempt_time_factor = 8;
constexpr state::duration min_attempt_time{20};
/// Maximum number of doublings of the time for an attempt.
constexpr std::uint32_t max_doublings = 16;

} // namespace

read_attempts::read_attempts(deadline end) : m_end(end) {}

attempt_result read_attempts::failed(std::size_t member, state::reason why,
                                     retry_budget& budget,
                                     state::time_point now)
{
    if (member < read_router::max_members)
    {
        m_attempted |= std::uint32_t{1} << member;
    }
    return next_attempt(true, why, budget, now);
}

attempt_result read_attempts::rejected(state::reason why, retry_budget& budget,
                                       state::time_point now)
{
    bool const charged = m_primary_next;
    m_primary_next = true;
    return next_attempt(charged, why, budget, now);
}

state::time_point read_attempts::attempt_deadline(state::duration expected,
                                                  state::time_point now) const
{
    auto const longest = m_end.remaining(now) / 2;
    auto const first =
        std::max(min_attempt_time, expected * attempt_time_factor);
    auto const times = std::int64_t{1} << std::min(m_count, max_doublings);
    return now + std::min(longest, first * times);
}

attempt_result read_attempts::next_attempt(bool charged, state::reason why,
                                           retry_budget& budget,
                                           state::time_point now)
{
    ++m_count;
    if (m_end.expired(now))
    {
        return {false, state::reason::deadline_exceeded};
    }
    if (charged && !budget.take())
    {
        return {false, why};
    }
    return {true, state::reason::none};
}

} // namespace camphortide::coordination
