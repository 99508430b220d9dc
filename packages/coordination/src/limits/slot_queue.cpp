#include <algorithm>
#include <cmath>

#include <camphortide/coordination/limits/slot_queue.hpp>

namespace camphortide::coordination
{

namespace
{

/// How much longer than estimated a request must be able to wait to be queued,
/// and how much shorter it may wait before it is given up on.
constexpr double arrival_margin = 1.5;
constexpr double giving_up_margin = 1.25;

} // namespace

void slot_queue::set_flow(flow_id flow, std::string const& owner,
                          std::uint32_t priority, std::uint32_t weight)
{
    if (flow >= m_flows.size())
    {
        m_flows.resize(std::size_t{flow} + 1);
    }
    auto& changed = m_flows[flow];
    m_queued[changed.m_priority] -= changed.m_queue.total();
    m_queued[priority] += changed.m_queue.total();
    changed.m_priority = priority;
    m_schedule.deactivate(flow);
    m_schedule.set(flow, owner, priority, weight);
    refresh(flow);
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
        each.m_queue.reset_pace(now);
    }
}

void slot_queue::set_open(flow_id flow, bool open)
{
    m_flows[flow].m_open = open;
    refresh(flow);
}

bool slot_queue::starts_at_once(flow_id flow) const
{
    auto const& asked = m_flows[flow];
    return m_running < m_slots && asked.m_open && asked.m_queue.empty();
}

work slot_queue::expected_wait(flow_id flow, work ahead) const
{
    if (m_slots == 0 || starts_at_once(flow))
    {
        return work::zero();
    }
    auto const& asked = m_flows[flow];
    work higher{};
    work same{};
    for (auto const& [priority, queued] : m_queued)
    {
        higher += priority > asked.m_priority ? queued : work::zero();
        same += priority == asked.m_priority ? queued : work::zero();
    }
    double const slots = m_slots;
    auto const fair = std::min(ahead / m_schedule.share(flow), same);
    auto const by_share = (higher + fair) / slots;
    auto const by_pace = asked.m_queue.time_to_serve(ahead);
    auto const first_slot = work(m_work.value_or(m_last_cost.count())) / slots;
    return first_slot + std::max(by_share, by_pace);
}

work slot_queue::expected_wait(flow_id flow) const
{
    return expected_wait(flow, m_flows[flow].m_queue.total());
}

void slot_queue::push(flow_id flow, waiting_request const& item,
                      state::time_point now)
{
    auto& asked = m_flows[flow];
    auto const position = asked.m_queue.push(item, now);
    m_queued[asked.m_priority] += item.m_cost;
    m_expiries.emplace(item.m_latest_start, item.m_id);
    m_places.emplace(item.m_id, place{flow, position});
    refresh(flow);
}

std::optional<slot_queue::taken> slot_queue::erase(std::uint64_t id,
                                                   state::time_point now)
{
    auto const found = m_places.find(id);
    if (found == m_places.end())
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
    refresh(flow);
}

std::optional<slot_queue::taken> slot_queue::start_next(state::time_point now)
{
    auto const flow = m_schedule.next();
    if (m_running >= m_slots || !flow)
    {
        return std::nullopt;
    }
    auto& queue = m_flows[*flow].m_queue;
    if (queue.front().m_latest_start < now)
    {
        auto late = remove({*flow, queue.begin()}, now);
        late.m_in_time = false;
        return late;
    }
    auto const item = queue.serve_front(now);
    forget(*flow, item);
    start(*flow, item.m_cost);
    return taken{*flow, item, true};
}

void slot_queue::finish(std::optional<work> service)
{
    m_running -= 1;
    if (service)
    {
        m_work.add(service->count());
    }
}

std::optional<slot_queue::taken> slot_queue::take_expired(state::time_point now)
{
    if (m_expiries.empty() || m_expiries.begin()->first >= now)
    {
        return std::nullopt;
    }
    return erase(m_expiries.begin()->second, now);
}

std::optional<slot_queue::taken>
slot_queue::take_hopeless(flow_id flow, state::time_point now)
{
    auto& queue = m_flows[flow].m_queue;
    if (queue.empty() || queue.last() == queue.begin())
    {
        return std::nullopt;
    }
    auto const item = queue.last();
    auto const wait =
        expected_wait(flow, queue.total() - item->m_cost) / giving_up_margin;
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
    return wait * arrival_margin <= work(item.m_latest_start - now);
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

slot_queue::taken slot_queue::remove(place const& where, state::time_point now)
{
    auto const [flow, position] = where;
    auto const item = m_flows[flow].m_queue.erase(position);
    forget(flow, item);
    refresh(flow);
    return {flow, item, item.m_cost <= work(item.m_deadline - now)};
}

void slot_queue::forget(flow_id flow, waiting_request const& item)
{
    auto& queued = m_queued[m_flows[flow].m_priority];
    queued = std::max(queued - item.m_cost, work::zero());
    m_expiries.erase({item.m_latest_start, item.m_id});
    m_places.erase(item.m_id);
}

void slot_queue::refresh(flow_id flow)
{
    auto const& asked = m_flows[flow];
    if (asked.m_open && !asked.m_queue.empty())
    {
        m_schedule.activate(flow);
    }
    else
    {
        m_schedule.deactivate(flow);
    }
}

} // namespace camphortide::coordination
