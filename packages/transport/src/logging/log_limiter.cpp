#include <utility>

#include <camphortide/transport/logging/log_limiter.hpp>

namespace camphortide::transport
{

log_limiter::log_limiter(std::uint32_t max_lines, state::duration interval)
    : m_max_lines(max_lines),
      m_interval(interval)
{
}

std::optional<std::uint64_t> log_limiter::admit(std::string_view kind,
                                                state::time_point now)
{
    auto it = m_counts.find(kind);
    if (it == m_counts.end())
    {
        it = m_counts.emplace(std::string(kind), line_count{now, 0, 0}).first;
    }
    auto& count = it->second;
    if (now - count.m_interval_start >= m_interval)
    {
        count.m_interval_start = now;
        count.m_lines = 0;
    }
    if (count.m_lines >= m_max_lines)
    {
        ++count.m_held_back;
        return std::nullopt;
    }
    ++count.m_lines;
    return std::exchange(count.m_held_back, 0);
}

} // namespace camphortide::transport
