#include <bit>
#include <cstdint>
#include <utility>

#include <camphortide/coordination/fleet/gossip_queue.hpp>

namespace camphortide::coordination
{

void gossip_queue::add(std::string const& name, std::size_t times)
{
    auto const found = m_left.find(name);
    if (found != m_left.end())
    {
        std::erase(m_waiting[found->second], name);
    }
    m_left[name] = times;
    m_waiting[times].push_front(name);
}

std::vector<std::string> gossip_queue::take(std::size_t count)
{
    std::vector<std::string> result;
    for (auto& [left, names] : m_waiting)
    {
        while (result.size() < count && !names.empty())
        {
            result.push_back(std::move(names.front()));
            names.pop_front();
        }
    }
    for (auto const& name : result)
    {
        auto const found = m_left.find(name);
        if (--found->second == 0)
        {
            m_left.erase(found);
            continue;
        }
        m_waiting[found->second].push_front(name);
    }
    return result;
}

std::size_t gossip_repeats(std::size_t instances)
{
    constexpr std::size_t base = 4;
    return base + static_cast<std::size_t>(
                      std::bit_width(static_cast<std::uint64_t>(instances)));
}

} // namespace camphortide::coordination
