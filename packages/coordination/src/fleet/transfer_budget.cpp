#include <algorithm>

#include <camphortide/coordination/fleet/transfer_budget.hpp>

namespace camphortide::coordination
{

namespace
{

constexpr std::uint64_t ms_per_second = 1000;

} // namespace

transfer_budget::transfer_budget(std::uint64_t bytes_per_second)
    : m_bytes_per_second(std::max<std::uint64_t>(bytes_per_second, 1))
{
}

std::optional<state::time_point>
transfer_budget::reserve(state::time_point now, std::uint64_t bytes,
                         state::time_point latest)
{
    auto const start = std::max(now, m_free_at);
    if (start > latest)
    {
        return std::nullopt;
    }
    auto const time = bytes * ms_per_second / m_bytes_per_second;
    m_free_at =
        start + state::duration(static_cast<state::duration::rep>(time));
    return start;
}

} // namespace camphortide::coordination
