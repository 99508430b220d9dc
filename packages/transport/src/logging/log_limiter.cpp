#include <utility>

#include <camphortide/transport/logging/log_limiter.hpp>

namespace camphortide::transport
{

log_limiter::log_limiter(std::uint32_t most, state::duration interval)
    : m_most(most),
      m_interval(interval)
{
}

std::optional<std::uint64_t> log_limiter::admit(std::string_view kind,
                                                state::time_point now)
{
    auto place = m_sites.find(kind);
    if (place == m_sites.end())
    {
        place = m_sites.emplace(std::string(kind), site{now, 0, 0}).first;
    }
    auto& each = place->second;
    if (now - each.m_begun >= m_interval)
    {
        each.m_begun = now;
        each.m_lines = 0;
    }
    if (each.m_lines >= m_most)
    {
        ++each.m_held_back;
        return std::nullopt;
    }
    ++each.m_lines;
    return std::exchange(each.m_held_back, 0);
}

} // namespace camphortide::transport
