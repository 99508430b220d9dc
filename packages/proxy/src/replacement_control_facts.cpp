#include "group_control.hpp"

#include <algorithm>

#include <camphortide/coordination/primary/fencing_token.hpp>
#include <camphortide/proxy/replacement_control.hpp>
#include <camphortide/transport/logging/log.hpp>

namespace camphortide::proxy
{

using coordination::primary_loss;
using coordination::replacement_reason;
using transport::log_part;

namespace
{

std::string_view to_string(primary_loss loss)
{
    switch (loss)
    {
    case primary_loss::refuses:
        return "refuses";
    case primary_loss::silent:
        return "silent";
    case primary_loss::unregistered:
        return "unregistered";
    case primary_loss::lost_to_others:
        return "lost_to_others";
    case primary_loss::none:
        break;
    }
    return "none";
}

} // namespace

replacement_reason replacement_control::determine_reason(
    group_control& group, state::term_record const& record,
    std::vector<coordination::reported_member> const& members,
    state::time_point now)
{
    auto const& instances = m_fleet.records().m_instances;
    bool present = false;
    bool leaving = false;
    bool other_leads = false;
    for (auto const& member : members)
    {
        bool const is_primary = member.m_entry.m_id == record.m_primary;
        present = present || (is_primary && member.m_registered);
        leaving = leaving || (is_primary && member.m_entry.m_leaving);
        bool const recent = member.m_requested_at > now - 2 * replica_interval;
        other_leads =
            other_leads || (!is_primary && recent && member.m_report &&
                            member.m_report->m_primary &&
                            member.m_report->m_term > record.m_term);
    }
    group.m_watch.note_registration(present, now);
    auto const loss = group.m_watch.evaluate(instances.size(), now);
    if (loss == primary_loss::none && !other_leads)
    {
        return leaving ? replacement_reason::leaving : replacement_reason::none;
    }
    if (loss == primary_loss::lost_to_others)
    {
        group.m_avoid = record.m_primary;
    }
    transport::log_warning(log_part::group, "primary is lost",
                           {{"group", record.m_group},
                            {"member", record.m_primary},
                            {"sign", to_string(loss)},
                            {"present", present},
                            {"other_leads", other_leads}});
    return replacement_reason::lost;
}

coordination::replacement_facts
replacement_control::collect_facts(std::string const& name,
                                   group_control& group, state::time_point now)
{
    coordination::replacement_facts facts;
    facts.m_record = m_fleet.records().m_terms.at(name);
    auto const& record = facts.m_record.m_record;
    if (group.m_watched_revision != facts.m_record.m_revision)
    {
        group.m_watched_revision = facts.m_record.m_revision;
        group.m_watched_member = record.m_primary;
        group.m_watch.begin(now);
        if (record.m_phase == state::term_phase::open)
        {
            group.m_answers.clear();
            group.m_avoid.clear();
        }
    }
    group.m_watch.tick(now);
    auto const& members = m_fleet.members();
    for (auto const& [id, member] : group.m_members)
    {
        auto const entry = members.find(id);
        bool const registered = entry != members.end();
        if (registered || m_fleet.lapsed_members().may_have_commits(id))
        {
            facts.m_members.push_back(
                {registered ? entry->second : member.m_monitor->member(),
                 member.m_report, member.m_requested_at, registered});
        }
    }
    facts.m_sync_replicas = sync_replicas_of(name);
    if (facts.m_sync_replicas > 0)
    {
        note_positions(facts);
        m_member_records.update(name, facts.m_members, m_lease.token(), now);
        facts.m_members_known = m_member_records.are_known(name, now);
    }
    if (record.m_phase == state::term_phase::open &&
        coordination::is_of_current_era(facts.m_record))
    {
        facts.m_reason = determine_reason(group, record, facts.m_members, now);
    }
    if (record.m_phase == state::term_phase::closing)
    {
        facts.m_instances = m_fleet.records().m_instances;
        facts.m_answers = group.m_answers;
        facts.m_expelled = m_fleet.expelled();
    }
    if (!m_lease.earlier_permits_lapsed())
    {
        facts.m_unregistered_permits_until =
            m_fleet.unregistered_permits_until();
    }
    facts.m_avoid = group.m_avoid;
    facts.m_holds_duty = m_lease.holds(now);
    facts.m_token = m_lease.token();
    facts.m_may_promote = now >= m_lease.earlier_calls_until() &&
                          m_promotion_calls.allows(facts.m_token, now);
    facts.m_now = now;
    return facts;
}

void replacement_control::note_positions(
    coordination::replacement_facts const& facts)
{
    auto const& record = facts.m_record.m_record;
    coordination::reported_member const* primary = nullptr;
    state::log_position replica;
    for (auto const& member : facts.m_members)
    {
        bool const is_primary = member.m_entry.m_id == record.m_primary;
        if (!member.m_report)
        {
            continue;
        }
        if (!is_primary && member.m_registered)
        {
            replica = std::max(replica, member.m_report->m_received);
        }
        else if (is_primary && member.m_report->m_primary)
        {
            primary = &member;
        }
    }
    if (primary != nullptr && record.m_phase == state::term_phase::open)
    {
        m_fleet.lapsed_members().note_positions(
            record.m_group, primary->m_report->m_received,
            primary->m_requested_at, replica);
    }
}

} // namespace camphortide::proxy
