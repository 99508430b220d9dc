#include <algorithm>

#include <camphortide/coordination/primary/lapsed_members.hpp>

namespace camphortide::coordination
{

namespace
{

/// Only the holder of the duty learns positions; other instances forget members
/// after this time.
constexpr state::duration max_lapsed_time{600000};

} // namespace

void lapsed_members::lapse(state::member_entry const& entry,
                           state::time_point now)
{
    m_members.insert_or_assign(entry.m_id,
                               lapsed_member{entry, now, std::nullopt});
}

void lapsed_members::note_registered(state::member_entry const& entry)
{
    std::erase_if(m_members,
                  [&](auto const& named)
                  {
                      auto const& lapsed = named.second.m_entry;
                      return lapsed.m_id == entry.m_id ||
                             (lapsed.m_group == entry.m_group &&
                              lapsed.m_address == entry.m_address);
                  });
}

void lapsed_members::note_positions(std::string const& group,
                                    state::log_position const& primary,
                                    state::time_point primary_requested_at,
                                    state::log_position const& replica)
{
    for (auto& named : m_members)
    {
        auto& member = named.second;
        bool const first = member.m_entry.m_group == group &&
                           !member.m_covered_from &&
                           primary_requested_at >= member.m_since;
        if (first)
        {
            member.m_covered_from = primary;
        }
    }
    std::erase_if(m_members,
                  [&](auto const& named)
                  {
                      auto const& member = named.second;
                      return member.m_entry.m_group == group &&
                             member.m_covered_from &&
                             replica >= *member.m_covered_from;
                  });
}

void lapsed_members::expire(state::time_point now)
{
    std::erase_if(m_members, [now](auto const& named)
                  { return now - named.second.m_since >= max_lapsed_time; });
}

std::size_t lapsed_members::count(std::string const& group,
                                  std::string const& primary) const
{
    return static_cast<std::size_t>(std::ranges::count_if(
        m_members,
        [&](auto const& named) {
            return named.second.m_entry.m_group == group &&
                   named.first != primary;
        }));
}

} // namespace camphortide::coordination
