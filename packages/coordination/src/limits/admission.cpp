#include <algorithm>

#include <camphortide/coordination/limits/admission.hpp>
#include <camphortide/coordination/limits/retry_hint.hpp>

namespace camphortide::coordination
{

namespace
{

using state::reason;

constexpr std::array lanes{lane::primary, lane::replica};
admission_decision refused(reason why, state::duration retry_after)
{
    return {verdict::refused, why, retry_after};
}

} // namespace

admission::admission(priority_rule rule) : m_rule(rule) {}

admission_changes admission::set_entries(std::span<entry_limits const> entries,
                                         state::time_point now)
{
    admission_changes changes;
    for (auto& known : m_entries)
    {
        known.m_removed = true;
    }
    for (auto const& limits : entries)
    {
        auto& changed = upsert(limits, now);
        changed.m_removed = false;
        open_or_close(changed);
    }
    for (auto const& known : m_entries)
    {
        if (known.m_removed)
        {
            remove(known, changes, now);
        }
    }
    for (auto const which : lanes)
    {
        dispatch(which, changes, now);
    }
    return changes;
}

admission_changes admission::set_capacity(lane which, std::uint32_t slots,
                                          state::time_point now)
{
    admission_changes changes;
    if (in(which).slots() != slots)
    {
        in(which).set_slots(slots, now);
        give_up(which, changes, now);
        dispatch(which, changes, now);
    }
    return changes;
}

admission_decision admission::arrive(admission_request const& request,
                                     state::time_point now)
{
    auto const* const known = find(request.m_entry);
    if (known == nullptr)
    {
        return refused(reason::unknown_entry, state::duration{0});
    }
    auto& asked = m_entries[known->m_flow];
    auto const item = asked.estimate(request, now);
    if (auto const why = refusal(asked, request, item, now))
    {
        return *why;
    }
    auto& queue = in(request.m_lane);
    if (queue.starts_at_once(asked.m_flow))
    {
        queue.start(asked.m_flow, item.m_cost);
        started(asked, request.m_lane, item.m_id);
        return {verdict::admitted, reason::none, state::duration{0}};
    }
    queue.push(asked.m_flow, item, now);
    asked.m_queued += 1;
    return {verdict::queued, reason::none, state::duration{0}};
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
    auto& asked = m_entries[flow];
    asked.m_running -= 1;
    if (service)
    {
        asked.learn(*service, now);
    }
    in(which).finish(service);
    open_or_close(asked);
    for (auto const each : lanes)
    {
        dispatch(each, changes, now);
    }
    return changes;
}

bool admission::cancel(std::uint64_t id, state::time_point now)
{
    for (auto& queue : m_lanes)
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
    for (auto const which : lanes)
    {
        expire(which, changes, now);
        give_up(which, changes, now);
    }
    return changes;
}

std::optional<state::time_point> admission::next_expiry() const
{
    std::optional<state::time_point> first;
    for (auto const& queue : m_lanes)
    {
        auto const at = queue.next_expiry();
        first = !first || (at && *at < *first) ? at : first;
    }
    return first;
}

admission_load admission::load(std::string_view name) const
{
    auto const* const asked = find(name);
    if (asked == nullptr)
    {
        return {};
    }
    return {asked->m_running, asked->m_queued, asked->mean_work()};
}

admission::entry const* admission::find(std::string_view name) const
{
    auto const found = m_names.find(name);
    if (found == m_names.end() || m_entries[found->second].m_removed)
    {
        return nullptr;
    }
    return &m_entries[found->second];
}

admission::entry& admission::upsert(entry_limits const& limits,
                                    state::time_point now)
{
    auto const next = static_cast<flow_id>(m_entries.size());
    auto const flow = m_names.try_emplace(limits.m_name, next).first->second;
    if (flow == next)
    {
        m_entries.emplace_back(flow);
    }
    auto& changed = m_entries[flow];
    changed.set_limits(limits, now);
    auto const priority =
        m_rule == priority_rule::strict ? limits.m_priority : 0;
    for (auto& queue : m_lanes)
    {
        queue.set_flow(flow, limits.m_owner, priority, limits.m_weight);
    }
    return changed;
}

void admission::remove(entry const& gone, admission_changes& changes,
                       state::time_point now)
{
    for (auto const which : lanes)
    {
        while (auto const id = in(which).oldest(gone.m_flow))
        {
            refuse(which, *in(which).erase(*id, now), reason::unknown_entry,
                   changes);
        }
    }
}

std::optional<admission_decision>
admission::refusal(entry& asked, admission_request const& request,
                   waiting_request const& item, state::time_point now)
{
    if (item.m_deadline <= now)
    {
        return refused(reason::deadline_exceeded, state::duration{0});
    }
    auto const which = request.m_lane;
    auto const wait = expected_wait(asked, which);
    if (!slot_queue::in_time(wait, item, now))
    {
        return too_late(asked, which, item, now);
    }
    bool const waits = !in(which).starts_at_once(asked.m_flow);
    if (asked.closed() ||
        (waits && asked.m_queued >= asked.limits().m_queue_length))
    {
        return over_queue(asked, which, item.m_id);
    }
    return asked.take(request, now);
}

admission_decision admission::too_late(entry const& asked, lane which,
                                       waiting_request const& item,
                                       state::time_point now) const
{
    bool const by_deadline =
        item.m_latest_start < now + asked.limits().m_queue_time;
    return refused(by_deadline ? reason::deadline_too_short
                               : reason::queue_full,
                   retry_after(asked, which, item.m_id));
}

admission_decision admission::over_queue(entry const& asked, lane which,
                                         std::uint64_t id) const
{
    return refused(asked.open() ? reason::queue_full
                                : reason::concurrency_limit,
                   retry_after(asked, which, id));
}

work admission::expected_wait(entry const& asked, lane which) const
{
    return std::max(in(which).expected_wait(asked.m_flow),
                    asked.concurrency_wait());
}

state::duration admission::retry_after(entry const& asked, lane which,
                                       std::uint64_t id) const
{
    bool const closed = in(which).slots() == 0 || asked.closed();
    return retry_hint(closed ? closed_wait : expected_wait(asked, which), id);
}

void admission::refuse(lane which, slot_queue::taken const& item, reason why,
                       admission_changes& changes)
{
    auto& asked = m_entries[item.m_flow];
    asked.m_queued -= 1;
    auto const id = item.m_request.m_id;
    changes.m_refused.push_back({id, why, retry_after(asked, which, id)});
}

void admission::started(entry& asked, lane which, std::uint64_t id)
{
    asked.m_running += 1;
    m_running.emplace(id, holder{asked.m_flow, which});
    open_or_close(asked);
}

void admission::open_or_close(entry const& asked)
{
    for (auto& queue : m_lanes)
    {
        queue.set_open(asked.m_flow, asked.open());
    }
}

void admission::dispatch(lane which, admission_changes& changes,
                         state::time_point now)
{
    while (auto const item = in(which).start_next(now))
    {
        if (!item->m_in_time)
        {
            refuse(which, *item, reason::deadline_exceeded, changes);
            continue;
        }
        auto& asked = m_entries[item->m_flow];
        asked.m_queued -= 1;
        changes.m_admitted.push_back(item->m_request.m_id);
        started(asked, which, item->m_request.m_id);
    }
}

void admission::expire(lane which, admission_changes& changes,
                       state::time_point now)
{
    while (auto const item = in(which).take_expired(now))
    {
        refuse(which, *item,
               item->m_in_time ? reason::queue_full : reason::deadline_exceeded,
               changes);
    }
}

void admission::give_up(lane which, admission_changes& changes,
                        state::time_point now)
{
    for (auto const& known : m_entries)
    {
        while (auto const item = in(which).take_hopeless(known.m_flow, now))
        {
            refuse(which, *item, reason::deadline_too_short, changes);
        }
    }
}

slot_queue& admission::in(lane which)
{
    return m_lanes[static_cast<std::size_t>(which)];
}

slot_queue const& admission::in(lane which) const
{
    return m_lanes[static_cast<std::size_t>(which)];
}

} // namespace camphortide::coordination
