#include <algorithm>

#include <camphortide/coordination/limits/admission.hpp>
#include <camphortide/coordination/limits/retry_hint.hpp>

namespace camphortide::coordination
{

namespace
{

using state::reason;

constexpr std::array slot_classes{slot_class::primary, slot_class::replica};
admission_decision refused(reason reason_code, state::duration retry_after)
{
    return {admission_result::refused, reason_code, retry_after};
}

} // namespace

admission::admission(priority_rule rule) : m_rule(rule) {}

admission_changes admission::set_entries(std::span<entry_limits const> entries,
                                         state::time_point now)
{
    admission_changes changes;
    for (auto& existing : m_entries)
    {
        existing.m_removed = true;
    }
    for (auto const& limits : entries)
    {
        auto& changed = upsert(limits, now);
        changed.m_removed = false;
        update_eligibility(changed);
    }
    for (auto const& existing : m_entries)
    {
        if (existing.m_removed)
        {
            remove(existing, changes, now);
        }
    }
    for (auto const which : slot_classes)
    {
        dispatch(which, changes, now);
    }
    return changes;
}

admission_changes admission::set_capacity(slot_class which, std::uint32_t slots,
                                          state::time_point now)
{
    admission_changes changes;
    if (queue_of(which).slots() != slots)
    {
        queue_of(which).set_slots(slots, now);
        refuse_infeasible(which, changes, now);
        dispatch(which, changes, now);
    }
    return changes;
}

admission_decision admission::submit(admission_request const& request,
                                     state::time_point now)
{
    auto const* const existing = find(request.m_entry);
    if (existing == nullptr)
    {
        return refused(reason::unknown_entry, state::duration{0});
    }
    auto& target = m_entries[existing->m_flow];
    auto const item = target.estimate(request, now);
    if (auto const refusal = check_limits(target, request, item, now))
    {
        return *refusal;
    }
    auto& queue = queue_of(request.m_slot_class);
    if (queue.starts_at_once(target.m_flow))
    {
        queue.start(target.m_flow, item.m_cost);
        mark_started(target, request.m_slot_class, item.m_id);
        return {admission_result::admitted, reason::none, state::duration{0}};
    }
    queue.push(target.m_flow, item, now);
    target.m_queued += 1;
    return {admission_result::queued, reason::none, state::duration{0}};
}

admission_changes admission::finished(std::uint64_t id,
                                      std::optional<work> service,
                                      state::time_point now)
{
    admission_changes changes;
    auto const found = m_running.find(id);
    if (found == m_running.end())
    {
        return changes;
    }
    auto const [flow, which] = found->second;
    m_running.erase(found);
    auto& target = m_entries[flow];
    target.m_running -= 1;
    if (service)
    {
        target.add_service_time(*service, now);
    }
    queue_of(which).finish(service);
    update_eligibility(target);
    for (auto const each : slot_classes)
    {
        dispatch(each, changes, now);
    }
    return changes;
}

bool admission::cancel(std::uint64_t id, state::time_point now)
{
    for (auto& queue : m_queues)
    {
        if (auto const item = queue.erase(id, now))
        {
            m_entries[item->m_flow].m_queued -= 1;
            return true;
        }
    }
    return false;
}

admission_changes admission::tick(state::time_point now)
{
    admission_changes changes;
    for (auto const which : slot_classes)
    {
        refuse_expired(which, changes, now);
        refuse_infeasible(which, changes, now);
    }
    return changes;
}

std::optional<state::time_point> admission::next_expiry() const
{
    std::optional<state::time_point> first;
    for (auto const& queue : m_queues)
    {
        auto const at = queue.next_expiry();
        first = !first || (at && *at < *first) ? at : first;
    }
    return first;
}

admission_load admission::load(std::string_view name) const
{
    auto const* const target = find(name);
    if (target == nullptr)
    {
        return {};
    }
    return {target->m_running, target->m_queued, target->mean_work()};
}

admission::entry const* admission::find(std::string_view name) const
{
    auto const found = m_flow_by_name.find(name);
    if (found == m_flow_by_name.end() || m_entries[found->second].m_removed)
    {
        return nullptr;
    }
    return &m_entries[found->second];
}

admission::entry& admission::upsert(entry_limits const& limits,
                                    state::time_point now)
{
    auto const next = static_cast<flow_id>(m_entries.size());
    auto const flow =
        m_flow_by_name.try_emplace(limits.m_name, next).first->second;
    if (flow == next)
    {
        m_entries.emplace_back(flow);
    }
    auto& changed = m_entries[flow];
    changed.set_limits(limits, now);
    auto const priority =
        m_rule == priority_rule::strict ? limits.m_priority : 0;
    for (auto& queue : m_queues)
    {
        queue.set_flow(flow, limits.m_customer, priority, limits.m_weight);
    }
    return changed;
}

void admission::remove(entry const& removed, admission_changes& changes,
                       state::time_point now)
{
    for (auto const which : slot_classes)
    {
        while (auto const id = queue_of(which).oldest(removed.m_flow))
        {
            refuse(which, *queue_of(which).erase(*id, now),
                   reason::unknown_entry, changes);
        }
    }
}

std::optional<admission_decision>
admission::check_limits(entry& target, admission_request const& request,
                        waiting_request const& item, state::time_point now)
{
    if (item.m_deadline <= now)
    {
        return refused(reason::deadline_exceeded, state::duration{0});
    }
    auto const which = request.m_slot_class;
    auto const wait = expected_wait(target, which);
    if (!slot_queue::in_time(wait, item, now))
    {
        return deadline_refusal(target, which, item, now);
    }
    bool const waits = !queue_of(which).starts_at_once(target.m_flow);
    if (target.blocked() ||
        (waits && target.m_queued >= target.limits().m_queue_length))
    {
        return queue_refusal(target, which, item.m_id);
    }
    return target.take_tokens(request, now);
}

admission_decision admission::deadline_refusal(entry const& target,
                                               slot_class which,
                                               waiting_request const& item,
                                               state::time_point now) const
{
    bool const by_deadline =
        item.m_latest_start < now + target.limits().m_queue_time;
    return refused(by_deadline ? reason::deadline_too_short
                               : reason::queue_full,
                   retry_after(target, which, item.m_id));
}

admission_decision admission::queue_refusal(entry const& target,
                                            slot_class which,
                                            std::uint64_t id) const
{
    return refused(target.can_start() ? reason::queue_full
                                      : reason::concurrency_limit,
                   retry_after(target, which, id));
}

work admission::expected_wait(entry const& target, slot_class which) const
{
    return std::max(queue_of(which).expected_wait(target.m_flow),
                    target.concurrency_wait());
}

state::duration admission::retry_after(entry const& target, slot_class which,
                                       std::uint64_t id) const
{
    bool const no_capacity = queue_of(which).slots() == 0 || target.blocked();
    return retry_hint(
        no_capacity ? no_capacity_wait : expected_wait(target, which), id);
}

void admission::refuse(slot_class which,
                       slot_queue::removed_request const& item,
                       reason reason_code, admission_changes& changes)
{
    auto& target = m_entries[item.m_flow];
    target.m_queued -= 1;
    auto const id = item.m_request.m_id;
    changes.m_refused.push_back(
        {id, reason_code, retry_after(target, which, id)});
}

void admission::mark_started(entry& target, slot_class which, std::uint64_t id)
{
    target.m_running += 1;
    m_running.emplace(id, slot_holder{target.m_flow, which});
    update_eligibility(target);
}

void admission::update_eligibility(entry const& target)
{
    for (auto& queue : m_queues)
    {
        queue.set_eligible(target.m_flow, target.can_start());
    }
}

void admission::dispatch(slot_class which, admission_changes& changes,
                         state::time_point now)
{
    while (auto const item = queue_of(which).start_next(now))
    {
        if (!item->m_in_time)
        {
            refuse(which, *item, reason::deadline_exceeded, changes);
            continue;
        }
        auto& target = m_entries[item->m_flow];
        target.m_queued -= 1;
        changes.m_admitted.push_back(item->m_request.m_id);
        mark_started(target, which, item->m_request.m_id);
    }
}

void admission::refuse_expired(slot_class which, admission_changes& changes,
                               state::time_point now)
{
    while (auto const item = queue_of(which).remove_expired(now))
    {
        refuse(which, *item,
               item->m_in_time ? reason::queue_full : reason::deadline_exceeded,
               changes);
    }
}

void admission::refuse_infeasible(slot_class which, admission_changes& changes,
                                  state::time_point now)
{
    for (auto const& existing : m_entries)
    {
        while (auto const item =
                   queue_of(which).remove_infeasible(existing.m_flow, now))
        {
            refuse(which, *item, reason::deadline_too_short, changes);
        }
    }
}

slot_queue& admission::queue_of(slot_class which)
{
    return m_queues[static_cast<std::size_t>(which)];
}

slot_queue const& admission::queue_of(slot_class which) const
{
    return m_queues[static_cast<std::size_t>(which)];
}

} // namespace camphortide::coordination
