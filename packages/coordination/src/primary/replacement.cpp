#include <algorithm>
#include <tuple>
#include <utility>

#include <camphortide/coordination/primary/fencing_token.hpp>
#include <camphortide/coordination/primary/replacement.hpp>
#include <camphortide/coordination/primary/successor_choice.hpp>

namespace camphortide::coordination
{

using state::term_phase;

std::vector<replacement_action>
replacement::step(replacement_facts const& facts)
{
    actions result;
    update_from_record(facts);
    if (!facts.m_holds_duty)
    {
        return result;
    }
    if (m_open_record)
    {
        write(facts, *m_open_record, result);
        return result;
    }
    if (!is_of_current_era(facts.m_record))
    {
        restore_record(facts, result);
        return result;
    }
    if (facts.m_record.m_record.m_phase == term_phase::open)
    {
        close_if_needed(facts, result);
        return result;
    }
    if (claim_record(facts, result))
    {
        return result;
    }
    auto const missing = instances_with_permit(facts);
    if (!missing.empty())
    {
        request_closings(facts, missing, result);
        return result;
    }
    if (facts.m_now < facts.m_unregistered_permits_until)
    {
        return result;
    }
    if (!m_permits_ended_at)
    {
        m_permits_ended_at = facts.m_now;
    }
    if (!facts.m_record.m_record.m_target.empty())
    {
        promote_target(facts, result);
    }
    else if (!reopen_old_primary(facts, result))
    {
        choose_target(facts, result);
    }
    return result;
}

void replacement::update_from_record(replacement_facts const& facts)
{
    if (facts.m_record.m_revision == m_revision)
    {
        return;
    }
    auto const& record = facts.m_record.m_record;
    bool const closing = record.m_phase == term_phase::closing;
    // A closing record with this holder's token was written on condition that
    // the record hadn't changed since it was last seen.
    bool const same_closing =
        m_closing && closing && record.m_token == facts.m_token;
    m_revision = facts.m_record.m_revision;
    m_closing = closing;
    m_last_request.reset();
    m_last_accepted.reset();
    m_request_unresolved = false;
    m_target_was_replica = false;
    m_target_unavailable = false;
    m_open_record.reset();
    m_obstacle = choice_obstacle::none;
    m_last_attempts.erase("write");
    m_claim_seen_at = same_closing && m_claim_seen_at != state::time_point()
                          ? m_claim_seen_at
                          : facts.m_now;
    if (!same_closing)
    {
        m_closing_since = m_revision;
        m_closing_seen_at = facts.m_now;
        m_permits_ended_at.reset();
        m_last_attempts.clear();
        m_close_requests.clear();
        m_given_up_for.clear();
    }
}

bool replacement::claim_record(replacement_facts const& facts, actions& result)
{
    auto record = facts.m_record.m_record;
    if (record.m_token == facts.m_token)
    {
        return false;
    }
    m_claim_seen_at = facts.m_now;
    write(facts, std::move(record), result);
    return true;
}

void replacement::close_if_needed(replacement_facts const& facts,
                                  actions& result)
{
    bool const too_early = facts.m_reason == replacement_reason::leaving &&
                           facts.m_now < facts.m_unregistered_permits_until;
    if (facts.m_reason == replacement_reason::none || too_early)
    {
        return; // a leaving primary serves until another can be promoted
    }
    auto record = facts.m_record.m_record;
    record.m_phase = term_phase::closing;
    record.m_orderly = facts.m_reason == replacement_reason::leaving;
    record.m_target.clear();
    complete_history(facts, record);
    write(facts, std::move(record), result);
}

void replacement::complete_history(replacement_facts const& facts,
                                   state::term_record& record)
{
    state::term const term(record.m_term);
    if (record.m_history.describes(term))
    {
        return;
    }
    for (auto const& member : facts.m_members)
    {
        if (member.m_entry.m_id == record.m_primary && member.m_report &&
            member.m_report->m_primary &&
            member.m_report->m_term == record.m_term)
        {
            record.m_history =
                record.m_history.continued(member.m_report->m_received, term);
        }
    }
}

void replacement::restore_record(replacement_facts const& facts,
                                 actions& result)
{
    // A promotion that the previous holder requested may take effect until
    // then.
    auto const settled_at = m_claim_seen_at + m_settings.m_takeover_delay;
    auto record = facts.m_record.m_record;
    record.m_orderly = false;
    record.m_target.clear();
    record.m_history = {}; // of a log before the copy
    if (auto const* primary = agreed_primary(facts, settled_at))
    {
        record.m_term = primary->m_report->m_term;
        record.m_primary = primary->m_entry.m_id;
        record.m_phase = term_phase::open;
        complete_history(facts, record);
        write_open(facts, std::move(record), result);
    }
    else if (facts.m_now >=
             std::max(settled_at, facts.m_unregistered_permits_until))
    {
        // Any member may be the primary of the recorded term or of a later one.
        record.m_term -= record.m_term == 0 ? 0 : 1;
        record.m_primary.clear();
        record.m_phase = term_phase::closing;
        write(facts, std::move(record), result);
    }
}

reported_member const*
replacement::agreed_primary(replacement_facts const& facts,
                            state::time_point after) const
{
    reported_member const* primary = nullptr;
    std::uint64_t latest_term = facts.m_record.m_record.m_term;
    for (auto const& member : facts.m_members)
    {
        bool const reported = member.m_report && member.m_requested_at >= after;
        if (!reported && member.m_registered)
        {
            return nullptr;
        }
        if (!reported)
        {
            continue; // it may have ended
        }
        auto const term = member.m_report->m_term;
        if (term >= latest_term)
        {
            bool const leads = member.m_report->m_primary;
            primary = leads ? &member : term > latest_term ? nullptr : primary;
            latest_term = term;
        }
    }
    return primary;
}

bool replacement::permit_ended(replacement_facts const& facts,
                               state::instance_entry const& instance) const
{
    if (facts.m_now - m_closing_seen_at >= permit_lease)
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
    auto const acknowledged = instance.m_acknowledged_closings.find(group);
    if (acknowledged != instance.m_acknowledged_closings.end() &&
        acknowledged->second >= m_closing_since)
    {
        return true;
    }
    auto const answer = facts.m_answers.find(instance.m_name);
    if (answer == facts.m_answers.end())
    {
        return false;
    }
    // An answer from a newer process proves that the registered one has ended.
    return answer->second.m_start_time > instance.m_start_time ||
           (answer->second.m_start_time == instance.m_start_time &&
            answer->second.m_revision >= m_closing_since);
}

std::vector<std::string>
replacement::instances_with_permit(replacement_facts const& facts) const
{
    std::vector<std::string> names;
    for (auto const& [name, instance] : facts.m_instances)
    {
        if (!permit_ended(facts, instance.m_record))
        {
            names.push_back(name);
        }
    }
    return names;
}

void replacement::request_closings(replacement_facts const& facts,
                                   std::vector<std::string> const& missing,
                                   actions& result)
{
    for (auto const& name : missing)
    {
        if (close_is_due(name, facts))
        {
            result.push_back(
                {replacement_action::kind::request_close, name, {}});
        }
    }
}

bool replacement::is_fresh(reported_member const& member) const
{
    return member.m_report && member.m_requested_at >= *m_permits_ended_at;
}

bool replacement::reopen_old_primary(replacement_facts const& facts,
                                     actions& result)
{
    auto const& record = facts.m_record.m_record;
    for (auto const& member : facts.m_members)
    {
        bool const still_leads = is_fresh(member) &&
                                 member.m_entry.m_id == record.m_primary &&
                                 member.m_report->m_primary &&
                                 member.m_report->m_term == record.m_term;
        if (still_leads && member.m_registered && !member.m_entry.m_leaving &&
            member.m_entry.m_id != facts.m_avoid)
        {
            auto retry = record;
            retry.m_phase = term_phase::open;
            retry.m_orderly = false;
            write_open(facts, std::move(retry), result);
            return true;
        }
    }
    return false;
}

bool replacement::has_caught_up(replacement_facts const& facts,
                                reported_member const& chosen) const
{
    if (!facts.m_record.m_record.m_orderly ||
        facts.m_now - *m_permits_ended_at >= m_settings.m_max_catch_up_wait)
    {
        return true;
    }
    for (auto const& member : facts.m_members)
    {
        if (member.m_entry.m_id == facts.m_record.m_record.m_primary)
        {
            return is_fresh(member) &&
                   chosen.m_report->m_received >= member.m_report->m_received;
        }
    }
    return true;
}

bool replacement::choose_target(replacement_facts const& facts, actions& result)
{
    successor_choice const choice(facts, *m_permits_ended_at);
    bool const waits =
        !choice.all_reported() &&
        facts.m_now - *m_permits_ended_at < m_settings.m_max_report_wait;
    m_obstacle = choice.obstacle();
    auto const skipped = [&](std::string const& id)
    {
        auto const until = m_cooldown_until.find(id);
        return until != m_cooldown_until.end() && until->second > facts.m_now;
    };
    auto const* chosen = choice.choose(skipped);
    bool const gives_up =
        chosen == nullptr &&
        facts.m_now - m_closing_seen_at >= m_settings.m_max_log_wait;
    if (gives_up)
    {
        chosen = choice.choose(skipped, accepted_logs::any);
    }
    if (waits || chosen == nullptr || !has_caught_up(facts, *chosen))
    {
        return false;
    }
    auto record = facts.m_record.m_record;
    record.m_target = chosen->m_entry.m_id;
    if (gives_up)
    {
        report_given_up_term(record.m_target, result);
    }
    write(facts, std::move(record), result);
    return true;
}

void replacement::report_given_up_term(std::string const& member,
                                       actions& result)
{
    if (m_given_up_for != member)
    {
        m_given_up_for = member;
        result.push_back(
            {replacement_action::kind::report_given_up_term, member, {}});
    }
}

bool replacement::target_failed(replacement_facts const& facts) const
{
    // A request of this holder, or of its predecessor, may still take effect.
    if (m_request_unresolved ||
        facts.m_now - m_claim_seen_at < m_settings.m_takeover_delay)
    {
        return false;
    }
    return m_target_unavailable ||
           (m_last_accepted &&
            facts.m_now - *m_last_accepted >= m_settings.m_promotion_timeout);
}

void replacement::note_target_role(replacement_facts const& facts)
{
    m_target_was_replica = false;
    for (auto const& member : facts.m_members)
    {
        if (member.m_entry.m_id == facts.m_record.m_record.m_target)
        {
            m_target_was_replica =
                is_fresh(member) && !member.m_report->m_primary;
        }
    }
}

bool replacement::leads_after_request(reported_member const& member) const
{
    return m_target_was_replica ||
           (m_last_accepted &&
            member.m_requested_at >=
                *m_last_accepted + m_settings.m_takeover_delay);
}

void replacement::promote_target(replacement_facts const& facts,
                                 actions& result)
{
    auto record = facts.m_record.m_record;
    for (auto const& member : facts.m_members)
    {
        bool const leads = member.m_entry.m_id == record.m_target &&
                           is_fresh(member) && member.m_report->m_primary &&
                           member.m_report->m_term > record.m_term;
        if (leads && leads_after_request(member))
        {
            record.m_term = member.m_report->m_term;
            record.m_primary = record.m_target;
            record.m_history = record.m_history.continued(
                member.m_report->m_received, state::term(record.m_term));
            record.m_phase = term_phase::open;
            record.m_orderly = false;
            record.m_target.clear();
            write_open(facts, std::move(record), result);
            return;
        }
    }
    if (target_failed(facts))
    {
        // Choose another member if there is one, but never clear the target:
        // it may have replaced the old primary although this instance can't
        // reach it.
        m_cooldown_until[record.m_target] = facts.m_now + m_settings.m_cooldown;
        if (choose_target(facts, result))
        {
            return;
        }
        m_target_unavailable = false;
    }
    if (!facts.m_may_promote)
    {
        return;
    }
    if (!m_last_request)
    {
        note_target_role(facts);
    }
    bool const retry =
        !m_last_request ||
        facts.m_now - m_last_accepted.value_or(*m_last_request) >=
            m_settings.m_promotion_timeout;
    if (retry && !m_target_unavailable)
    {
        m_last_request = facts.m_now;
        m_requested_member = record.m_target;
        m_earlier_request_unresolved =
            std::exchange(m_request_unresolved, true);
        result.push_back(
            {replacement_action::kind::promote, record.m_target, {}});
    }
}

void replacement::promotion_finished(std::string const& member,
                                     promotion_result result,
                                     state::time_point now)
{
    if (member != m_requested_member)
    {
        return;
    }
    switch (result)
    {
    case promotion_result::accepted:
        m_request_unresolved = false;
        m_last_accepted = now;
        return;
    case promotion_result::unknown:
        return; // the request is repeated until its result is known
    case promotion_result::no_effect:
        m_request_unresolved = m_earlier_request_unresolved;
        m_last_request =
            now - m_settings.m_promotion_timeout + m_settings.m_retry_interval;
        return;
    case promotion_result::member_unavailable:
        m_request_unresolved = false;
        m_target_unavailable = true;
        return;
    }
}

bool replacement::is_due(std::string const& action, state::time_point now)
{
    auto const found = m_last_attempts.find(action);
    if (found != m_last_attempts.end() &&
        now - found->second < m_settings.m_retry_interval)
    {
        return false;
    }
    m_last_attempts[action] = now;
    return true;
}

bool replacement::close_is_due(std::string const& instance,
                               replacement_facts const& facts)
{
    auto& request = m_close_requests[instance];
    auto const revision = facts.m_instances.at(instance).m_revision;
    if (std::exchange(request.m_revision, revision) != revision)
    {
        request = {{}, {}, revision}; // it has just written to the store
    }
    if (facts.m_now < request.m_next)
    {
        return false;
    }
    request.m_interval =
        std::clamp(request.m_interval * 2, m_settings.m_retry_interval,
                   m_settings.m_max_close_interval);
    request.m_next = facts.m_now + request.m_interval;
    return true;
}

void replacement::write_open(replacement_facts const& facts,
                             state::term_record record, actions& result)
{
    m_open_record = record;
    write(facts, std::move(record), result);
}

void replacement::write(replacement_facts const& facts,
                        state::term_record record, actions& result)
{
    if (is_due("write", facts.m_now))
    {
        record.m_token = facts.m_token;
        result.push_back(
            {replacement_action::kind::write_record, {}, std::move(record)});
    }
}

} // namespace camphortide::coordination
