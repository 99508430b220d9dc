#include <algorithm>
#include <functional>
#include <iterator>
#include <utility>

#include <camphortide/state/term_history.hpp>

namespace camphortide::state
{

term_history::term_history(std::vector<term_start> starts)
    : m_starts(std::move(starts))
{
}

bool term_history::contains(log_position const& position,
                            log_position const& last) const
{
    if (position.m_index > last.m_index)
    {
        return false;
    }
    auto const after = std::ranges::upper_bound(
        m_starts, position.m_index, std::less<>(), &term_start::m_first_index);
    return after == m_starts.begin() ||
           std::prev(after)->m_term == position.m_term;
}

} // namespace camphortide::state
