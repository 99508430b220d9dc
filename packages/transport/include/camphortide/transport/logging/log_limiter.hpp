#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include <camphortide/state/clock.hpp>

namespace camphortide::transport
{

/// Lets a few lines of each kind through in an interval and counts the rest.
class log_limiter
{
public:
    /// @param most the lines of one kind that an interval lets through
    /// @param interval the length of the interval
    log_limiter(std::uint32_t max_lines, state::duration interval);

    /// Decides on a line.
    /// @param kind names the call site; there must be few
    /// @param now the time
    /// @return the lines of the kind that were held back since the last one
    ///     let through, or nothing if this one is held back too
    std::optional<std::uint64_t> admit(std::string_view kind,
                                       state::time_point now);

private:
    struct line_count
    {
        state::time_point m_interval_start;
        std::uint32_t m_lines = 0;
        std::uint64_t m_held_back = 0;
    };

    std::uint32_t m_max_lines;
    state::duration m_interval;
    std::map<std::string, line_count, std::less<>> m_counts;
};

} // namespace camphortide::transport
