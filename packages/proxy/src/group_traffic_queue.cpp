#include <algorithm>
#include <cmath>
#include <utility>

#include <camphortide/proxy/group_traffic.hpp>

namespace camphortide::proxy
{

using coordination::sent_kind;

namespace
{

/// Response times vary: three of four are within this multiple of the mean.
constexpr double service_time_margin = 1.3;

} // namespace

void group_traffic::submit(request_pointer const& request)
{
    if (request->m_bound)
    {
        if (!request->m_bound->m_connection->alive())
        {
            handle_reply(request, *request->m_bound, std::nullopt);
            return;
        }
        run(request, *request->m_bound);
        return;
    }
    auto const now = state::clock::now();
    bool const primary = needs_primary(*request, now);
    request->m_waits_for_primary = primary;
    request->m_send_by = request->m_arrived +
                         request->m_route->m_target_latency -
                         service_time(primary, now);
    if (request->m_send_count == 0 && !admit(request, now))
    {
        refuse(request, "no member in time");
        return;
    }
    enqueue(request, primary);
    coordination::waiting_statement item;
    item.m_number = request->m_number;
    item.m_arrived = request->m_arrived;
    item.m_send_by = request->m_send_by;
    item.m_deadline = request->m_deadline;
    item.m_priority = request->m_route->m_priority;
    item.m_primary_only = request->m_primary;
    m_queue.push(item);
    dispatch();
}

void group_traffic::enqueue(request_pointer const& request, bool primary)
{
    request->m_waits_for_primary = primary;
    m_waiting[request->m_number] = request;
    ++m_waiting_counts[primary ? 1 : 0];
}

bool group_traffic::dequeue(request_pointer const& request)
{
    m_queue.erase(request->m_number);
    bool const waited = m_waiting.erase(request->m_number) != 0;
    if (waited)
    {
        --m_waiting_counts[request->m_waits_for_primary ? 1 : 0];
    }
    return waited;
}

void group_traffic::set_waits_for_primary(statement_request& request,
                                          bool primary)
{
    if (std::exchange(request.m_waits_for_primary, primary) != primary)
    {
        --m_waiting_counts[primary ? 0 : 1];
        ++m_waiting_counts[primary ? 1 : 0];
    }
}

coordination::competing_statement
group_traffic::as_competing(statement_request const& request) const
{
    std::size_t const kind = request.m_waits_for_primary ? 1 : 0;
    auto const work = m_work.find(request.m_route->m_name);
    double const mean = m_mean_work[kind].value_or(0);
    coordination::competing_statement result;
    result.m_send_by = request.m_send_by;
    result.m_priority = request.m_route->m_priority;
    result.m_work = work == m_work.end() || mean <= 0
                        ? 1
                        : work->second.value_or(mean) / mean;
    return result;
}

bool group_traffic::admit(request_pointer const& request, state::time_point now)
{
    bool const primary = request->m_waits_for_primary;
    auto const& rate = m_dispatch_rates[primary ? 1 : 0];
    std::vector<request_pointer> candidates;
    std::vector<coordination::competing_statement> competing_statements;
    for (auto const& entry : m_waiting)
    {
        auto const& other = entry.second;
        if (other->m_waits_for_primary == primary && other->m_send_by > now &&
            other->m_send_count == 0)
        {
            candidates.push_back(other);
            competing_statements.push_back(as_competing(*other));
        }
    }
    candidates.push_back(request);
    competing_statements.push_back(as_competing(*request));
    competing_statements.back().m_arriving = true;
    bool admitted = true;
    for (auto const index : coordination::choose_refusals(
             competing_statements, rate.interval_ms(), now + rate.overdue(now)))
    {
        auto const& refused = candidates[index];
        admitted = admitted && refused != request;
        if (refused != request && dequeue(refused))
        {
            refuse(refused, "gave way to shorter statements");
        }
    }
    return admitted;
}

state::duration group_traffic::service_time(bool primary,
                                            state::time_point now) const
{
    double longest = 0;
    for (auto const& each : conditions({}, now))
    {
        if (each.m_usable && each.m_primary == primary)
        {
            longest = std::max(longest, each.m_response_ms);
        }
    }
    return state::duration(std::llround(longest * service_time_margin));
}

bool group_traffic::needs_primary(statement_request const& request,
                                  state::time_point now) const
{
    auto const members = conditions(request.m_customer, now);
    auto const best = best_member(requirements_for(request), members, now);
    return !best || is_primary(m_pools[*best]->member().m_id);
}

void group_traffic::dispatch()
{
    if (m_dispatching)
    {
        m_dispatch_again = true;
        return;
    }
    m_dispatching = true;
    do
    {
        m_dispatch_again = false;
        auto const now = state::clock::now();
        refuse_expired(now);
        open_connections(send_waiting(now));
        refuse_hopeless(now);
    } while (m_dispatch_again);
    m_dispatching = false;
    set_timer();
}

std::vector<member_pool::demand>
group_traffic::send_waiting(state::time_point now)
{
    std::vector<member_pool::demand> demand(m_pools.size());
    // By customer, until a statement is sent. They aren't determined for each
    // waiting statement: under overload there are hundreds.
    std::map<std::string, std::vector<coordination::member_condition>> known;
    for (auto const& item : m_queue.in_order(now))
    {
        auto const it = m_waiting.find(item.m_number);
        if (it == m_waiting.end())
        {
            continue; // removed from the queue while others were sent
        }
        auto const request = it->second;
        auto const requirements = requirements_for(*request);
        auto const conditions_known = known.find(request->m_customer);
        auto const& current =
            conditions_known != known.end()
                ? conditions_known->second
                : known
                      .emplace(request->m_customer,
                               conditions(request->m_customer, now))
                      .first->second;
        auto members = current;
        add_waiting(members, demand, request->m_customer);
        auto const choice =
            coordination::choose_member(requirements, members, now);
        if (choice.m_member)
        {
            count_read(*request, requirements, members,
                       members[*choice.m_member].m_primary, now);
            request->m_required_position = requirements.m_required_position;
            send_to(request, *choice.m_member);
            known.clear();
        }
        else if (choice.m_opening_member)
        {
            note_opening_wait(*request, *choice.m_opening_member);
            add_demand(demand[*choice.m_opening_member], *request, item);
        }
        else if (!choice.m_possible)
        {
            request->m_attempted_members = 0; // attempts all members again
        }
        else if (auto const best = best_member(requirements, current, now))
        {
            set_waits_for_primary(*request, current[*best].m_primary);
            add_demand(demand[*best], *request, item);
        }
    }
    return demand;
}

void group_traffic::add_waiting(
    std::vector<coordination::member_condition>& members,
    std::vector<member_pool::demand> const& demand, std::string const& customer)
{
    for (std::size_t i = 0; i < members.size(); ++i)
    {
        auto const it = demand[i].find(customer);
        if (members[i].m_openable && it != demand[i].end())
        {
            // The customer's connections to a member are opened one by one.
            auto const ahead = it->second.m_statements;
            members[i].m_in_flight += static_cast<std::uint32_t>(ahead);
            members[i].m_opening_ms *= 1.0 + static_cast<double>(ahead);
        }
    }
}

void group_traffic::add_demand(member_pool::demand& demand,
                               statement_request const& request,
                               coordination::waiting_statement const& item)
{
    auto const [it, added] = demand.try_emplace(request.m_customer);
    ++it->second.m_statements;
    if (added)
    {
        it->second.m_send_by = item.m_send_by; // the first in the queue's order
    }
}

void group_traffic::note_opening_wait(statement_request& request,
                                      std::size_t index)
{
    if (!std::exchange(request.m_waited_for_opening, true))
    {
        m_pools[index]->record_opening_wait();
    }
}

std::optional<std::size_t> group_traffic::best_member(
    coordination::placement_requirements const& requirements,
    std::vector<coordination::member_condition> members, state::time_point now)
{
    for (auto& member : members)
    {
        member.m_free = true;
    }
    return coordination::choose_member(requirements, members, now).m_member;
}

void group_traffic::open_connections(
    std::vector<member_pool::demand> const& demand)
{
    for (std::size_t i = 0; i < m_pools.size(); ++i)
    {
        m_pools[i]->open_if_needed(demand[i],
                                   [this, alive = m_alive]
                                   {
                                       if (*alive)
                                       {
                                           dispatch();
                                       }
                                   });
    }
}

void group_traffic::count_read(
    statement_request const& request,
    coordination::placement_requirements const& requirements,
    std::vector<coordination::member_condition> const& members, bool primary,
    state::time_point now)
{
    bool const reads = request.m_kind == sent_kind::single_read ||
                       (request.m_begins_transaction && request.m_read_only);
    if (!reads)
    {
        return;
    }
    if (!primary)
    {
        ++m_reads.m_replica;
        return;
    }
    if (request.m_primary || requirements.m_primary)
    {
        ++(request.m_primary ? m_reads.m_primary_required
                             : m_reads.m_no_position);
        return;
    }
    auto others = members;
    for (auto& each : others)
    {
        each.m_usable = each.m_usable && !each.m_primary;
    }
    bool const replica_possible =
        coordination::choose_member(requirements, others, now).m_possible;
    ++(replica_possible ? m_reads.m_replicas_full : m_reads.m_replicas_lag);
}

void group_traffic::refuse_expired(state::time_point now)
{
    for (auto const& item : m_queue.take_expired(now))
    {
        auto const it = m_waiting.find(item.m_number);
        if (it != m_waiting.end())
        {
            auto const request = it->second;
            dequeue(request);
            refuse(request, "no member in time");
        }
    }
}

void group_traffic::refuse_hopeless(state::time_point now)
{
    std::array<std::vector<request_pointer>, 2> waiting;
    std::array<std::vector<state::duration>, 2> left;
    for (auto const& item : m_queue.in_order(now))
    {
        auto const& request = m_waiting.at(item.m_number);
        std::size_t const kind = request->m_waits_for_primary ? 1 : 0;
        waiting.at(kind).push_back(request);
        left.at(kind).push_back(item.m_deadline - now);
    }
    for (std::size_t kind = 0; kind < waiting.size(); ++kind)
    {
        for (auto const index : m_dispatch_rates.at(kind).hopeless(
                 left.at(kind), service_time(kind == 1, now), now))
        {
            auto const& request = waiting.at(kind)[index];
            if (dequeue(request))
            {
                refuse(request, "no member before its deadline");
            }
        }
    }
}

std::vector<group_traffic::request_pointer> group_traffic::take_misplaced()
{
    std::vector<request_pointer> requests;
    if (!m_is_home && !m_is_stand_in)
    {
        for (auto const& entry : m_waiting)
        {
            requests.push_back(entry.second);
        }
        for (auto const& request : requests)
        {
            dequeue(request);
        }
    }
    return requests;
}

void group_traffic::set_timer()
{
    auto const next = m_queue.next_expiry();
    // While statements wait, members and lag are evaluated again at this
    // interval.
    constexpr state::duration recheck_interval{15};
    auto const now = state::clock::now();
    if (!next)
    {
        return;
    }
    auto const at = std::min(*next, now + recheck_interval);
    if (m_timer_at && *m_timer_at <= at && *m_timer_at > now)
    {
        return;
    }
    m_timer_at = at;
    m_timer.expires_after(std::max(at - now, state::duration(1)));
    m_timer.async_wait(
        [this, alive = m_alive](boost::system::error_code error)
        {
            if (!error && *alive)
            {
                m_timer_at.reset();
                dispatch();
            }
        });
}

} // namespace camphortide::proxy
