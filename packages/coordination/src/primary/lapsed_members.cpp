#include <algorithm>
#include <utility>

#include <camphortide/coordination/primary/lapsed_members.hpp>
#include <camphortide/coordination/primary/registration_grace.hpp>

namespace camphortide::coordination
{

namespace
{

/// Only the holder of the duty learns positions; other instances forget members
/// that aren't recorded after this time.
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

bool lapsed_members::is_recorded(std::string const& group,
                                 std::string const& id) const
{
    auto const found = m_records.find(group);
    return found != m_records.end() &&
           found->second.m_record.m_addresses.contains(id);
}

void lapsed_members::note_records(
    records const& recorded,
    std::function<bool(std::string const&)> const& registered,
    state::time_point now)
{
    for (auto const& [group, record] : recorded)
    {
        for (auto const& [id, address] : record.m_record.m_addresses)
        {
            if (!registered(id) && !m_members.contains(id) &&
                !is_recorded(group, id))
            {
                state::member_entry entry;
                entry.m_id = id;
                entry.m_group = group;
                entry.m_address = address;
                // It may be alive and about to register again.
                lapse(entry, now + registration_grace);
            }
        }
    }
    auto const earlier = std::exchange(m_records, recorded);
    std::erase_if(
        m_members,
        [&](auto const& named)
        {
            auto const& group = named.second.m_entry.m_group;
            auto const found = earlier.find(group);
            return found != earlier.end() && recorded.contains(group) &&
                   found->second.m_record.m_addresses.contains(named.first) &&
                   !is_recorded(group, named.first);
        });
}

void lapsed_members::expire(state::time_point now)
{
    std::erase_if(m_members,
                  [&](auto const& named)
                  {
                      return now - named.second.m_since >= max_lapsed_time &&
                             !is_recorded(named.second.m_entry.m_group,
                                          named.first);
                  });
}

std::map<std::string, std::string>
lapsed_members::addresses(std::string const& group) const
{
    std::map<std::string, std::string> result;
    for (auto const& [id, member] : m_members)
    {
        if (member.m_entry.m_group == group)
        {
            result[id] = member.m_entry.m_address;
        }
    }
    return result;
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
