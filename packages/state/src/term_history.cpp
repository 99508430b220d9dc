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

bool term_history::describes(term latest) const
{
    return !m_starts.empty() && m_starts.back().m_term == latest;
}

log_relation term_history::relation_of(log_position const& last,
                                       term latest) const
{
    if (last.m_term >= latest)
    {
        return log_relation::included;
    }
    if (!describes(latest))
    {
        return log_relation::unknown;
    }
    auto const after = std::ranges::upper_bound(
        m_starts, last.m_index, std::less<>(), &term_start::m_first_index);
    if (after == m_starts.begin())
    {
        // The records of the oldest term may begin before its known start.
        auto const oldest = m_starts.front().m_term;
        return last.m_term == oldest  ? log_relation::included
               : last.m_term < oldest ? log_relation::unknown
                                      : log_relation::diverged;
    }
    return std::prev(after)->m_term == last.m_term ? log_relation::included
                                                   : log_relation::diverged;
}

term_history term_history::continued(log_position const& last, term next) const
{
    bool const known =
        !m_starts.empty() && last.m_term <= m_starts.back().m_term &&
        relation_of(last, m_starts.back().m_term) == log_relation::included;
    std::vector<term_start> starts;
    if (known && last.m_term < next)
    {
        std::ranges::copy_if(m_starts, std::back_inserter(starts),
                             [&](term_start const& start)
                             { return start.m_first_index <= last.m_index; });
    }
    if (starts.empty())
    {
        starts.push_back({last.m_term, last.m_index});
    }
    if (last.m_term < next)
    {
        starts.push_back({next, last.m_index + 1});
    }
    auto const excess =
        starts.size() - std::min(starts.size(), std::size_t{max_starts});
    starts.erase(starts.begin(),
                 starts.begin() + static_cast<std::ptrdiff_t>(excess));
    return term_history(std::move(starts));
}

} // namespace camphortide::state
