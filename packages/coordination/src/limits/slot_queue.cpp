#include <algorithm>
#include <cmath>

#include <camphortide/coordination/limits/slot_queue.hpp>

namespace camphortide::coordination
{

namespace
{

/// A request is admitted to the queue only if it can wait longer than estimated
/// by this factor, and is removed as infeasible only if the estimate exceeds
/// the time that it can wait by the second factor.
constexpr double admission_margin = 1.5;
constexpr double infeasible_margin = 1.25;

} // namespace

void slot_queue::set_flow(flow_id flow, std::string const& customer,
                          std::uint32_t priority, std::uint32_t weight)
{
    if (flow >= m_flows.size())
    {
        m_flows.resize(std::size_t{flow} + 1);
    }
    auto& updated = m_flows[flow];
    m_queued_work[updated.m_priority] -= updated.m_queue.total();
    m_queued_work[priority] += updated.m_queue.total();
    updated.m_priority = priority;
    m_schedule.deactivate(flow);
    m_schedule.set_flow(flow, customer, priority, weight);
    update_schedule(flow);
}

void slot_queue::set_slots(std::uint32_t slots, state::time_point now)
{
    if (m_slots == slots)
    {
        return;
    }
    m_slots = slots;
    for (auto& each : m_flows)
    {
        each.m_queue.reset_time_per_work(now);
    }
}

void slot_queue::set_eligible(flow_id flow, bool eligible)
{
    m_flows[flow].m_eligible = eligible;
    update_schedule(flow);
}

bool slot_queue::starts_at_once(flow_id flow) const
{
    auto const& current = m_flows[flow];
    return m_running < m_slots && current.m_eligible && current.m_queue.empty();
}

work slot_queue::expected_wait(flow_id flow, work ahead) const
{
    if (m_slots == 0 || starts_at_once(flow))
    {
        return work::zero();
    }
    auto const& current = m_flows[flow];
    work higher_priority_work{};
    work same_priority_work{};
    for (auto const& [priority, queued] : m_queued_work)
    {
        higher_priority_work +=
            priority > current.m_priority ? queued : work::zero();
        same_priority_work +=
            priority == current.m_priority ? queued : work::zero();
    }
    double const slots = m_slots;
    auto const same_priority_ahead =
        std::min(ahead / m_schedule.share(flow), same_priority_work);
    auto const by_fair_share =
        (higher_priority_work + same_priority_ahead) / slots;
    auto const by_recent_service = current.m_queue.time_to_serve(ahead);
    auto const first_slot = work(m_work.value_or(m_last_cost.count())) / slots;
    return first_slot + std::max(by_fair_share, by_recent_service);
}

work slot_queue::expected_wait(flow_id flow) const
{
    return expected_wait(flow, m_flows[flow].m_queue.total());
}

void slot_queue::push(flow_id flow, waiting_request const& item,
                      state::time_point now)
{
    auto& current = m_flows[flow];
    auto const position = current.m_queue.push(item, now);
    m_queued_work[current.m_priority] += item.m_cost;
    m_expiries.emplace(item.m_latest_start, item.m_id);
    m_positions.emplace(item.m_id, queue_position{flow, position});
    update_schedule(flow);
}

std::optional<slot_queue::removed_request>
slot_queue::erase(std::uint64_t id, state::time_point now)
{
    auto const found = m_positions.find(id);
    if (found == m_positions.end())
    {
        return std::nullopt;
    }
    return remove(found->second, now);
}

void slot_queue::start(flow_id flow, work cost)
{
    m_schedule.activate(flow);
    m_schedule.charge(flow, cost.count());
    m_running += 1;
    m_last_cost = cost;
    update_schedule(flow);
}

std::optional<slot_queue::removed_request>
slot_queue::start_next(state::time_point now)
{
    auto const flow = m_schedule.next();
    if (m_running >= m_slots || !flow)
    {
        return std::nullopt;
    }
    auto& queue = m_flows[*flow].m_queue;
    if (queue.front().m_latest_start < now)
    {
        auto removed = remove({*flow, queue.begin()}, now);
        removed.m_in_time = false;
        return removed;
    }
    auto const item = queue.serve_front(now);
    remove_from_indexes(*flow, item);
    start(*flow, item.m_cost);
    return removed_request{*flow, item, true};
}

void slot_queue::finish(std::optional<work> service)
{
    m_running -= 1;
    if (service)
    {
        m_work.add(service->count());
    }
}

std::optional<slot_queue::removed_request>
slot_queue::remove_expired(state::time_point now)
{
    if (m_expiries.empty() || m_expiries.begin()->first >= now)
    {
        return std::nullopt;
    }
    return erase(m_expiries.begin()->second, now);
}

std::optional<slot_queue::removed_request>
slot_queue::remove_infeasible(flow_id flow, state::time_point now)
{
    auto& queue = m_flows[flow].m_queue;
    if (queue.empty() || queue.last() == queue.begin())
    {
        return std::nullopt;
    }
    auto const item = queue.last();
    auto const wait =
        expected_wait(flow, queue.total() - item->m_cost) / infeasible_margin;
    if (wait <= work(item->m_latest_start - now))
    {
        return std::nullopt;
    }
    return remove({flow, item}, now);
}

std::optional<state::time_point> slot_queue::next_expiry() const
{
    if (m_expiries.empty())
    {
        return std::nullopt;
    }
    return m_expiries.begin()->first;
}

bool slot_queue::in_time(work wait, waiting_request const& item,
                         state::time_point now)
{
    return wait * admission_margin <= work(item.m_latest_start - now);
}

std::optional<std::uint64_t> slot_queue::oldest(flow_id flow) const
{
    auto const& queue = m_flows[flow].m_queue;
    if (queue.empty())
    {
        return std::nullopt;
    }
    return queue.front().m_id;
}

slot_queue::removed_request slot_queue::remove(queue_position const& which,
                                               state::time_point now)
{
    auto const [flow, position] = which;
    auto const item = m_flows[flow].m_queue.erase(position);
    remove_from_indexes(flow, item);
    update_schedule(flow);
    return {flow, item, item.m_cost <= work(item.m_deadline - now)};
}

void slot_queue::remove_from_indexes(flow_id flow, waiting_request const& item)
{
    auto& queued = m_queued_work[m_flows[flow].m_priority];
    queued = std::max(queued - item.m_cost, work::zero());
    m_expiries.erase({item.m_latest_start, item.m_id});
    m_positions.erase(item.m_id);
}

void slot_queue::update_schedule(flow_id flow)
{
    auto const& current = m_flows[flow];
    if (current.m_eligible && !current.m_queue.empty())
    {
        m_schedule.activate(flow);
    }
    else
    {
        m_schedule.deactivate(flow);
    }
}

} // namespace camphortide::coordination
