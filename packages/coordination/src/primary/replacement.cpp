#include <algorithm>
#include <tuple>
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
        return result;
    }
    if (facts.m_record.m_record.m_phase == term_phase::open)
    {
        close_if_needed(facts, result);
        return result;
    }
    if (m_opening)
    {
        write(facts, *m_opening, result);
        return result;
    }
    if (claim(facts, result))
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
    if (!facts.m_record.m_record.m_target.empty())
    {
        promote_target(facts, result);
    }
    else if (!reopen(facts, result))
    {
        choose_target(facts, result);
    }
    return result;
}

void replacement::follow_record(replacement_facts const& facts)
{
    if (facts.m_record.m_revision == m_revision)
    {
        return;
    }
    auto const& record = facts.m_record.m_record;
    bool const closing = record.m_phase == term_phase::closing;
    // A closing record with the own token was written under the condition
    // that it still was as seen before.
    bool const goes_on =
        m_closing && closing && record.m_token == facts.m_token;
    m_revision = facts.m_record.m_revision;
    m_closing = closing;
    m_called.reset();
    m_accepted.reset();
    m_uncertain = false;
    m_was_replica = false;
    m_target_cannot = false;
    m_opening.reset();
    m_tried.erase("write");
    m_claimed =
        goes_on && m_claimed != state::time_point() ? m_claimed : facts.m_now;
    if (!goes_on)
    {
        m_closing_since = m_revision;
        m_seen = facts.m_now;
        m_clear.reset();
        m_tried.clear();
    }
}

bool replacement::claim(replacement_facts const& facts, actions& into)
{
    auto record = facts.m_record.m_record;
    if (record.m_token == facts.m_token)
    {
        return false;
    }
    m_claimed = facts.m_now;
    write(facts, std::move(record), into);
    return true;
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
    record.m_target.clear();
    write(facts, std::move(record), into);
}

bool replacement::ended(replacement_facts const& facts,
                        state::instance_entry const& instance) const
{
    if (facts.m_now - m_seen >= permit_lease)
    {
        return true;
    }
    auto const expelled = facts.m_expelled.find(instance.m_name);
    if (instance.m_expelled && expelled != facts.m_expelled.end() &&
        facts.m_now - expelled->second >= permit_lease)
    {
        return true;
    }
    auto const& group = facts.m_record.m_record.m_group;
    auto const said = instance.m_acknowledged_closings.find(group);
    if (said != instance.m_acknowledged_closings.end() &&
        said->second >= m_closing_since)
    {
        return true;
    }
    auto const answer = facts.m_answers.find(instance.m_name);
    if (answer == facts.m_answers.end())
    {
        return false;
    }
    // A younger process proves that the registered one has ended.
    return answer->second.m_start_time > instance.m_start_time ||
           (answer->second.m_start_time == instance.m_start_time &&
            answer->second.m_revision >= m_closing_since);
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
            into.push_back({replacement_action::kind::ask_close, name, {}});
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
        bool const still_leads = fresh(member) &&
                                 member.m_entry.m_id == record.m_primary &&
                                 member.m_report->m_primary &&
                                 member.m_report->m_term == record.m_term;
        if (still_leads && !member.m_entry.m_leaving &&
            member.m_entry.m_id != facts.m_avoid)
        {
            auto again = record;
            again.m_phase = term_phase::open;
            again.m_orderly = false;
            open(facts, std::move(again), into);
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
    auto const& record = facts.m_record.m_record;
    auto const rank = [&](reported_member const& member)
    {
        bool const leads_later = member.m_report->m_primary &&
                                 member.m_report->m_term > record.m_term;
        return std::tuple(leads_later ? member.m_report->m_term : 0,
                          !member.m_entry.m_leaving,
                          member.m_report->m_received);
    };
    for (auto const& member : facts.m_members)
    {
        auto const left_out = m_left_out.find(member.m_entry.m_id);
        bool const usable =
            fresh(member) && member.m_entry.m_id != record.m_primary &&
            (left_out == m_left_out.end() || left_out->second <= facts.m_now);
        if (usable && (best == nullptr || rank(member) > rank(*best)))
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

bool replacement::choose_target(replacement_facts const& facts, actions& into)
{
    auto const* chosen = heard_enough(facts) ? candidate(facts) : nullptr;
    if (chosen == nullptr || !caught_up(facts, *chosen))
    {
        return false;
    }
    auto record = facts.m_record.m_record;
    record.m_target = chosen->m_entry.m_id;
    write(facts, std::move(record), into);
    return true;
}

bool replacement::target_failed(replacement_facts const& facts) const
{
    // A call of this holder, or of the one before, may still arrive.
    if (m_uncertain || facts.m_now - m_claimed < m_settings.m_takeover_wait)
    {
        return false;
    }
    return m_target_cannot || (m_accepted && facts.m_now - *m_accepted >=
                                                 m_settings.m_promotion_wait);
}

void replacement::note_target_before(replacement_facts const& facts)
{
    m_was_replica = false;
    for (auto const& member : facts.m_members)
    {
        if (member.m_entry.m_id == facts.m_record.m_record.m_target)
        {
            m_was_replica = fresh(member) && !member.m_report->m_primary;
        }
    }
}

bool replacement::leads_by_call(reported_member const& member) const
{
    return m_was_replica ||
           (m_accepted &&
            member.m_asked >= *m_accepted + m_settings.m_takeover_wait);
}

void replacement::promote_target(replacement_facts const& facts, actions& into)
{
    auto record = facts.m_record.m_record;
    for (auto const& member : facts.m_members)
    {
        bool const leads = member.m_entry.m_id == record.m_target &&
                           fresh(member) && member.m_report->m_primary &&
                           member.m_report->m_term > record.m_term;
        if (leads && leads_by_call(member))
        {
            record.m_term = member.m_report->m_term;
            record.m_primary = record.m_target;
            record.m_phase = term_phase::open;
            record.m_orderly = false;
            record.m_target.clear();
            open(facts, std::move(record), into);
            return;
        }
    }
    if (target_failed(facts))
    {
        // Another one, if there is one; never none: the old primary may have
        // been replaced, though the new one isn't reached from here.
        m_left_out[record.m_target] = facts.m_now + m_settings.m_leave_out;
        if (choose_target(facts, into))
        {
            return;
        }
        m_target_cannot = false;
    }
    if (!m_called)
    {
        note_target_before(facts);
    }
    bool const again =
        !m_called || facts.m_now - m_accepted.value_or(*m_called) >=
                         m_settings.m_promotion_wait;
    if (again && !m_target_cannot)
    {
        m_called = facts.m_now;
        m_called_for = record.m_target;
        m_was_uncertain = std::exchange(m_uncertain, true);
        into.push_back(
            {replacement_action::kind::promote, record.m_target, {}});
    }
}

void replacement::promoted(std::string const& member, promotion_result result,
                           state::time_point now)
{
    if (member != m_called_for)
    {
        return;
    }
    switch (result)
    {
    case promotion_result::accepted:
        m_uncertain = false;
        m_accepted = now;
        return;
    case promotion_result::unknown:
        return; // it is called again until the answer is known
    case promotion_result::nothing_done:
        m_uncertain = m_was_uncertain;
        m_called = now - m_settings.m_promotion_wait + m_settings.m_retry;
        return;
    case promotion_result::member_cannot:
        m_uncertain = false;
        m_target_cannot = true;
        return;
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

void replacement::open(replacement_facts const& facts,
                       state::term_record record, actions& into)
{
    m_opening = record;
    write(facts, std::move(record), into);
}

void replacement::write(replacement_facts const& facts,
                        state::term_record record, actions& into)
{
    if (due("write", facts.m_now))
    {
        record.m_token = facts.m_token;
        into.push_back(
            {replacement_action::kind::write_record, {}, std::move(record)});
    }
}

} // namespace camphortide::coordination
