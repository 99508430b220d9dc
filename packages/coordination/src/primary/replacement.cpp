#include <algorithm>
#include <utility>

#include <camphortide/coordination/primary/replacement.hpp>

namespace camphortide::coordination
{

using state::term_phase;

std::vector<replacement_action>
replacement::step(replacement_facts const& facts)
{
    actions result;
    follow_record(facts);
    if (!facts.m_holds_duty)
    {
        // Another holder may call a promotion that is not known here.
        m_own_revision = 0;
        return result;
    }
    if (facts.m_record.m_record.m_phase == term_phase::open)
    {
        close_if_needed(facts, result);
        return result;
    }
    if (open_new_primary(facts, result))
    {
        return result;
    }
    auto const missing = unfinished(facts);
    if (!missing.empty())
    {
        end_permits(facts, missing, result);
        return result;
    }
    if (!m_clear)
    {
        m_clear = facts.m_now;
    }
    expel_silent(facts, result);
    choose(facts, result);
    return result;
}

void replacement::follow_record(replacement_facts const& facts)
{
    if (facts.m_record.m_revision == m_revision)
    {
        return;
    }
    m_revision = facts.m_record.m_revision;
    m_seen = facts.m_now;
    m_clear.reset();
    m_target.clear();
    m_called.reset();
    m_tried.clear();
}

bool replacement::settled(state::time_point now) const
{
    return m_revision == m_own_revision ||
           now - m_seen >= m_settings.m_takeover_wait;
}

void replacement::close_if_needed(replacement_facts const& facts, actions& into)
{
    if (facts.m_reason == replacement_reason::none)
    {
        return;
    }
    auto record = facts.m_record.m_record;
    record.m_phase = term_phase::closing;
    record.m_orderly = facts.m_reason == replacement_reason::leaving;
    write(facts, std::move(record), into);
}

bool replacement::open_new_primary(replacement_facts const& facts,
                                   actions& into)
{
    reported_member const* leader = nullptr;
    for (auto const& member : facts.m_members)
    {
        bool const leads = member.m_report && member.m_report->m_primary &&
                           member.m_report->m_term >
                               facts.m_record.m_record.m_term;
        if (leads && (leader == nullptr ||
                      member.m_report->m_term > leader->m_report->m_term))
        {
            leader = &member;
        }
    }
    bool const other_called =
        leader != nullptr && m_called && m_target != leader->m_entry.m_id &&
        facts.m_now - *m_called < m_settings.m_promotion_wait;
    if (leader == nullptr || other_called || !settled(facts.m_now))
    {
        return false;
    }
    state::term_record record;
    record.m_group = facts.m_record.m_record.m_group;
    record.m_term = leader->m_report->m_term;
    record.m_primary = leader->m_entry.m_id;
    write(facts, std::move(record), into);
    return true;
}

bool replacement::ended(replacement_facts const& facts,
                        state::instance_entry const& instance) const
{
    if (facts.m_now - m_seen >= permit_lease)
    {
        return true;
    }
    auto const& group = facts.m_record.m_record.m_group;
    auto const said = instance.m_closed.find(group);
    if (said != instance.m_closed.end() && said->second >= m_revision)
    {
        return true;
    }
    auto const answer = facts.m_answers.find(instance.m_name);
    if (answer == facts.m_answers.end())
    {
        return false;
    }
    // A younger process proves that the registered one has ended.
    return answer->second.m_born > instance.m_born ||
           (answer->second.m_born == instance.m_born &&
            answer->second.m_revision >= m_revision);
}

std::vector<std::string>
replacement::unfinished(replacement_facts const& facts) const
{
    std::vector<std::string> names;
    for (auto const& [name, instance] : facts.m_instances)
    {
        if (!ended(facts, instance.m_record))
        {
            names.push_back(name);
        }
    }
    return names;
}

void replacement::end_permits(replacement_facts const& facts,
                              std::vector<std::string> const& missing,
                              actions& into)
{
    for (auto const& name : missing)
    {
        if (due("close " + name, facts.m_now))
        {
            into.push_back(
                {replacement_action::kind::ask_close, name, {}});
        }
    }
}

void replacement::expel_silent(replacement_facts const& facts, actions& into)
{
    if (facts.m_now - m_seen < permit_lease)
    {
        return;
    }
    for (auto const& [name, instance] : facts.m_instances)
    {
        auto const answer = facts.m_answers.find(name);
        bool const silent = answer == facts.m_answers.end() &&
                            !instance.m_record.m_closed.contains(
                                facts.m_record.m_record.m_group);
        if (silent && !instance.m_record.m_expelled &&
            due("expel " + name, facts.m_now))
        {
            into.push_back({replacement_action::kind::expel, name, {}});
        }
    }
}

bool replacement::fresh(reported_member const& member) const
{
    return member.m_report && member.m_asked >= *m_clear;
}

bool replacement::reopen(replacement_facts const& facts, actions& into)
{
    auto const& record = facts.m_record.m_record;
    for (auto const& member : facts.m_members)
    {
        bool const still_leads =
            fresh(member) && member.m_entry.m_id == record.m_primary &&
            member.m_report->m_primary &&
            member.m_report->m_term == record.m_term;
        if (still_leads && !member.m_entry.m_leaving &&
            member.m_entry.m_id != facts.m_avoid &&
            m_revision == m_own_revision)
        {
            auto open = record;
            open.m_phase = term_phase::open;
            open.m_orderly = false;
            write(facts, std::move(open), into);
            return true;
        }
    }
    return false;
}

bool replacement::heard_enough(replacement_facts const& facts) const
{
    std::size_t heard = 0;
    std::size_t replicas = 0;
    for (auto const& member : facts.m_members)
    {
        if (member.m_entry.m_id != facts.m_record.m_record.m_primary)
        {
            ++replicas;
            heard += fresh(member) ? 1 : 0;
        }
    }
    // Of any so many replicas one holds each acknowledged commit.
    std::size_t const needed =
        facts.m_sync_replicas == 0
            ? 1
            : replicas + 1 -
                  std::min<std::size_t>(replicas, facts.m_sync_replicas);
    if (heard < needed)
    {
        return false;
    }
    return heard == replicas ||
           facts.m_now - *m_clear >= m_settings.m_report_wait;
}

reported_member const*
replacement::candidate(replacement_facts const& facts) const
{
    reported_member const* best = nullptr;
    auto const better = [](reported_member const& left,
                           reported_member const& right)
    {
        return std::pair(!left.m_entry.m_leaving, left.m_report->m_received) >
               std::pair(!right.m_entry.m_leaving, right.m_report->m_received);
    };
    for (auto const& member : facts.m_members)
    {
        auto const left_out = m_left_out.find(member.m_entry.m_id);
        bool const usable =
            fresh(member) && !member.m_report->m_primary &&
            member.m_entry.m_id != facts.m_record.m_record.m_primary &&
            (left_out == m_left_out.end() || left_out->second <= facts.m_now);
        if (usable && (best == nullptr || better(member, *best)))
        {
            best = &member;
        }
    }
    return best;
}

bool replacement::caught_up(replacement_facts const& facts,
                            reported_member const& chosen) const
{
    if (!facts.m_record.m_record.m_orderly ||
        facts.m_now - *m_clear >= m_settings.m_catch_up_wait)
    {
        return true;
    }
    for (auto const& member : facts.m_members)
    {
        if (member.m_entry.m_id == facts.m_record.m_record.m_primary)
        {
            return fresh(member) &&
                   chosen.m_report->m_received >= member.m_report->m_received;
        }
    }
    return true;
}

void replacement::choose(replacement_facts const& facts, actions& into)
{
    if (m_called)
    {
        if (facts.m_now - *m_called >= m_settings.m_promotion_wait)
        {
            call(m_target, facts.m_now, into);
        }
        return;
    }
    if (!settled(facts.m_now) || reopen(facts, into) || !heard_enough(facts))
    {
        return;
    }
    auto const* chosen = candidate(facts);
    if (chosen != nullptr && caught_up(facts, *chosen))
    {
        call(chosen->m_entry.m_id, facts.m_now, into);
    }
}

void replacement::call(std::string const& member, state::time_point now,
                       actions& into)
{
    if (due("promote", now))
    {
        m_called = now;
        m_target = member;
        into.push_back({replacement_action::kind::promote, member, {}});
    }
}

void replacement::promoted(std::string const& member, promotion_result result,
                           state::time_point now)
{
    if (result == promotion_result::may_take_effect || member != m_target)
    {
        return;
    }
    m_called.reset();
    m_target.clear();
    if (result == promotion_result::member_cannot)
    {
        m_left_out[member] = now + m_settings.m_leave_out;
    }
}

bool replacement::due(std::string const& action, state::time_point now)
{
    auto const place = m_tried.find(action);
    if (place != m_tried.end() && now - place->second < m_settings.m_retry)
    {
        return false;
    }
    m_tried[action] = now;
    return true;
}

void replacement::write(replacement_facts const& facts,
                        state::term_record record, actions& into)
{
    if (due("write", facts.m_now))
    {
        into.push_back({replacement_action::kind::write_record, {},
                        std::move(record)});
    }
}

} // namespace camphortide::coordination
