#include <algorithm>
#include <functional>
#include <utility>

#include <camphortide/state/session_token.hpp>

namespace camphortide::state
{

session_token::session_token(std::vector<group_position> positions,
                             bool complete)
    : m_positions(std::move(positions)),
      m_complete(complete)
{
    std::ranges::sort(m_positions, std::greater<>());
    auto const same_group =
        [](group_position const& left, group_position const& right)
    {
        return left.m_group == right.m_group;
    };
    m_positions.erase(
        std::unique(m_positions.begin(), m_positions.end(), same_group),
        m_positions.end());
    std::ranges::reverse(m_positions);
    enforce_bounds();
}

std::optional<log_position> session_token::find(std::string_view group) const
{
    auto const found = std::ranges::lower_bound(
        m_positions, group, std::less<>(), &group_position::m_group);
    if (found == m_positions.end() || found->m_group != group)
    {
        return std::nullopt;
    }
    return found->m_position;
}

session_token session_token::advanced(std::string_view group,
                                      log_position const& position) const
{
    session_token result = *this;
    auto const found = std::ranges::lower_bound(
        result.m_positions, group, std::less<>(), &group_position::m_group);
    if (found != result.m_positions.end() && found->m_group == group)
    {
        found->m_position = std::max(found->m_position, position);
        return result;
    }
    result.m_positions.insert(found, {std::string(group), position});
    result.enforce_bounds();
    return result;
}

session_token session_token::merged(session_token const& other) const
{
    auto positions = m_positions;
    positions.insert(positions.end(), other.m_positions.begin(),
                     other.m_positions.end());
    return session_token(std::move(positions), m_complete && other.m_complete);
}

void session_token::enforce_bounds()
{
    auto const removed =
        std::erase_if(m_positions, [](group_position const& entry)
                      { return entry.m_group.size() > max_group_name_bytes; });
    m_complete = m_complete && removed == 0;
    if (m_positions.size() > max_groups)
    {
        m_positions.resize(max_groups);
        m_complete = false;
    }
}

} // namespace camphortide::state
