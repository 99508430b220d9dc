#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include <camphortide/state/clock.hpp>

namespace camphortide::transport
{

/// Limits how many lines of each kind are logged per interval, and counts the
/// lines that are held back.
class log_limiter
{
public:
    /// @param max_lines maximum number of lines of one kind per interval
    /// @param interval the length of the interval
    log_limiter(std::uint32_t max_lines, state::duration interval);

    /// Decides whether a line is logged.
    /// @param kind key of the limit. The state of each kind is kept forever, so
    ///     the number of kinds must be small.
    /// @param now the current time
    /// @return the number of lines of the kind held back since the last logged
    ///     one, or nullopt if this line is held back too
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
