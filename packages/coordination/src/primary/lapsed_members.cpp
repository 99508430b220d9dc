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
    auto since = now;
    if (auto const answer = m_answers.find(entry.m_id);
        answer != m_answers.end())
    {
        since = std::max(since, answer->second + registration_grace);
    }
    m_members.insert_or_assign(entry.m_id,
                               lapsed_member{entry, since, std::nullopt});
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

void lapsed_members::note_answer(std::string const& id, state::time_point now)
{
    m_answers[id] = now;
    auto const found = m_members.find(id);
    if (found != m_members.end())
    {
        extend(found->second, now + registration_grace);
    }
}

void lapsed_members::extend(lapsed_member& member, state::time_point until)
{
    member.m_since = std::max(member.m_since, until);
    member.m_covered_from.reset();
    member.m_covered = false;
}

bool lapsed_members::answered_recently(std::string const& id,
                                       state::time_point now) const
{
    auto const found = m_answers.find(id);
    return found != m_answers.end() && now - found->second < registration_grace;
}

void lapsed_members::note_ended(std::string const& id, state::time_point now)
{
    m_answers.erase(id);
    auto const found = m_members.find(id);
    if (found != m_members.end())
    {
        found->second.m_since = std::min(found->second.m_since, now);
    }
}

void lapsed_members::begin_asking(state::time_point now)
{
    for (auto& [id, member] : m_members)
    {
        // An earlier holder has asked the others.
        if (!member.m_covered)
        {
            extend(member, now + registration_grace);
        }
    }
}

void lapsed_members::note_positions(std::string const& group,
                                    state::log_position const& primary,
                                    state::time_point primary_requested_at,
                                    state::log_position const& replica)
{
    for (auto& [id, member] : m_members)
    {
        if (member.m_entry.m_group != group)
        {
            continue;
        }
        if (!member.m_covered_from && primary_requested_at >= member.m_since)
        {
            member.m_covered_from = primary;
        }
        member.m_covered =
            member.m_covered ||
            (member.m_covered_from && replica >= *member.m_covered_from);
    }
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
    for (auto& [id, member] : m_members)
    {
        auto const& group = member.m_entry.m_group;
        auto const found = earlier.find(group);
        bool const removed = found != earlier.end() &&
                             recorded.contains(group) &&
                             found->second.m_record.m_addresses.contains(id) &&
                             !is_recorded(group, id);
        member.m_covered =
            member.m_covered || (removed && !answered_recently(id, now));
    }
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
    std::erase_if(m_answers, [&](auto const& named)
                  { return now - named.second >= max_lapsed_time; });
}

std::vector<state::member_entry>
lapsed_members::entries(std::string const& group) const
{
    std::vector<state::member_entry> result;
    for (auto const& [id, member] : m_members)
    {
        if (member.m_entry.m_group == group)
        {
            result.push_back(member.m_entry);
        }
    }
    return result;
}

bool lapsed_members::may_have_commits(std::string const& id) const
{
    auto const found = m_members.find(id);
    return found != m_members.end() && !found->second.m_covered;
}

std::map<std::string, std::string>
lapsed_members::addresses(std::string const& group) const
{
    std::map<std::string, std::string> result;
    for (auto const& [id, member] : m_members)
    {
        if (member.m_entry.m_group == group && !member.m_covered)
        {
            result[id] = member.m_entry.m_address;
        }
    }
    return result;
}

} // namespace camphortide::coordination
