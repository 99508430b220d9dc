#include <algorithm>
#include <tuple>

#include <camphortide/coordination/primary/successor_choice.hpp>

namespace camphortide::coordination
{

successor_choice::successor_choice(replacement_facts const& facts,
                                   state::time_point reports_since)
    : m_facts(facts),
      m_reports_since(reports_since)
{
    for (auto const& member : facts.m_members)
    {
        bool const fresh = is_fresh(member);
        if (is_old_primary(member))
        {
            m_old_primary = fresh ? &member : nullptr;
            continue;
        }
        ++m_replicas;
        m_reported += fresh ? 1 : 0;
    }
}

bool successor_choice::is_fresh(reported_member const& member) const
{
    return member.m_report && member.m_requested_at >= m_reports_since;
}

bool successor_choice::is_old_primary(reported_member const& member) const
{
    return member.m_entry.m_id == m_facts.m_record.m_record.m_primary;
}

bool successor_choice::leads_newer_term(reported_member const& member) const
{
    return member.m_report->m_primary &&
           member.m_report->m_term > m_facts.m_record.m_record.m_term;
}

bool successor_choice::accepts(reported_member const& member,
                               accepted_logs accepted) const
{
    auto const& record = m_facts.m_record.m_record;
    // Without a primary, nothing is known of the log that members should have.
    return accepted == accepted_logs::any || record.m_primary.empty() ||
           leads_newer_term(member) ||
           record.m_history.relation_of(member.m_report->m_received,
                                        state::term(record.m_term)) ==
               state::log_relation::included;
}

reported_member const*
successor_choice::most_advanced(accepted_logs accepted) const
{
    reported_member const* result = nullptr;
    for (auto const& member : m_facts.m_members)
    {
        bool const counts = is_fresh(member) && !is_old_primary(member) &&
                            accepts(member, accepted);
        if (counts && (result == nullptr || member.m_report->m_received >
                                                result->m_report->m_received))
        {
            result = &member;
        }
    }
    return result;
}

std::size_t successor_choice::needed_reports() const
{
    if (m_facts.m_sync_replicas == 0)
    {
        return 1;
    }
    // With m_sync_replicas replicas acknowledging each commit, any that many
    // replicas include one that has it.
    return m_replicas + 1 -
           std::min<std::size_t>(m_replicas, m_facts.m_sync_replicas);
}

bool successor_choice::knows_commits(accepted_logs accepted) const
{
    bool const counts = m_facts.m_sync_replicas == 0 || m_facts.m_members_known;
    if (counts && m_reported >= needed_reports())
    {
        return true;
    }
    auto const* const replica = most_advanced(accepted);
    return m_old_primary != nullptr && replica != nullptr &&
           replica->m_report->m_received >= m_old_primary->m_report->m_received;
}

choice_obstacle successor_choice::obstacle() const
{
    if (m_reported == 0)
    {
        return choice_obstacle::no_report;
    }
    if (!knows_commits(accepted_logs::of_recorded_term))
    {
        return choice_obstacle::missing_reports;
    }
    return most_advanced(accepted_logs::of_recorded_term) == nullptr
               ? choice_obstacle::discarded_commits
               : choice_obstacle::none;
}

bool successor_choice::is_preferred(reported_member const& member,
                                    reported_member const& other) const
{
    auto const rank = [this](reported_member const& each)
    {
        return std::tuple(leads_newer_term(each) ? each.m_report->m_term : 0,
                          each.m_registered, !each.m_entry.m_leaving,
                          each.m_report->m_received);
    };
    return rank(member) > rank(other);
}

reported_member const*
successor_choice::choose(std::function<bool(std::string const&)> const& skipped,
                         accepted_logs accepted) const
{
    if (!knows_commits(accepted))
    {
        return nullptr;
    }
    auto const* const advanced = most_advanced(accepted);
    auto const may_lack_commits = [&](reported_member const& member)
    {
        return m_facts.m_sync_replicas > 0 && !leads_newer_term(member) &&
               member.m_report->m_received < advanced->m_report->m_received;
    };
    reported_member const* best = nullptr;
    for (auto const& member : m_facts.m_members)
    {
        bool const usable = is_fresh(member) && !is_old_primary(member) &&
                            !skipped(member.m_entry.m_id) &&
                            accepts(member, accepted) &&
                            !may_lack_commits(member);
        if (usable && (best == nullptr || is_preferred(member, *best)))
        {
            best = &member;
        }
    }
    return best;
}

} // namespace camphortide::coordination
