#include <algorithm>
#include <bit>
#include <cstdint>
#include <utility>

#include <camphortide/coordination/fleet/news_queue.hpp>

namespace camphortide::coordination
{

void news_queue::add(std::string const& name, std::size_t times)
{
    std::erase_if(m_items, [&name](item const& waiting)
                  { return waiting.m_name == name; });
    m_items.push_front({name, times});
}

std::vector<std::string> news_queue::take(std::size_t count)
{
    std::vector<std::string> result;
    std::size_t const taken = std::min(count, m_items.size());
    for (std::size_t index = 0; index < taken; ++index)
    {
        item next = std::move(m_items.front());
        m_items.pop_front();
        result.push_back(next.m_name);
        if (--next.m_left > 0)
        {
            m_items.push_back(std::move(next));
        }
    }
    return result;
}

std::size_t news_repeats(std::size_t instances)
{
    constexpr std::size_t base = 4;
    return base + static_cast<std::size_t>(
                      std::bit_width(static_cast<std::uint64_t>(instances)));
}

} // namespace camphortide::coordination
