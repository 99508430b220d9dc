#include <algorithm>
#include <functional>
#include <vector>

#include <camphortide/coordination/safe_position.hpp>

namespace camphortide::coordination
{

std::uint64_t safe_index(std::span<state::member_status const> statuses,
                         std::size_t members, state::term primary_term)
{
    std::vector<std::uint64_t> received;
    for (auto const& status : statuses)
    {
        if (status.m_granted == primary_term &&
            status.m_received.m_term == primary_term)
        {
            received.push_back(status.m_received.m_index);
        }
    }
    std::size_t const majority = members / 2 + 1;
    if (received.size() < majority)
    {
        return 0;
    }
    std::ranges::sort(received, std::greater<>());
    return received[majority - 1];
}

} // namespace camphortide::coordination
