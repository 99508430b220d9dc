#include <algorithm>
#include <utility>

#include <camphortide/platform/member_protocol.hpp>
#include <camphortide/proxy/group_traffic.hpp>

namespace camphortide::proxy
{

using state::session_phase;
using state::statement_reply;

namespace
{

/// How long an orderly change of primary waits for statements and transactions
/// in progress.
constexpr state::duration orderly_close_timeout{1500};
/// How long the answer to a probe is awaited before its connection is closed:
/// several round trips between regions.
constexpr state::duration probe_timeout{1000};
/// How long a member must fail before it is reported as unreachable.
constexpr state::duration unreachable_delay{300};
/// How long all connections to a member must be in use before that is reported:
/// longer than transactions usually take.
constexpr state::duration exhausted_delay{5000};

} // namespace

std::shared_ptr<member_pool>
group_traffic::find_pool(std::string const& member) const
{
    auto const same = [&](auto const& pool)
    {
        return pool->member().m_id == member;
    };
    auto const it = std::find_if(m_pools.begin(), m_pools.end(), same);
    return it == m_pools.end() ? nullptr : *it;
}

bool group_traffic::primary_in_use(state::store_revision const& revision) const
{
    return !m_primary_uses.empty() && m_primary_uses.begin()->first <= revision;
}

void group_traffic::close_primary(state::store_revision const& revision,
                                  bool orderly, std::function<void()> closed)
{
    m_permit.stop(revision);
    auto const now = state::clock::now();
    auto const until = orderly ? now + orderly_close_timeout : now;
    m_pending_closes.push_back(
        {revision, m_permit.status().m_primary, until, std::move(closed)});
    finish_pending_closes();
}

void group_traffic::finish_pending_closes()
{
    auto const now = state::clock::now();
    std::vector<pending_close> finished;
    for (auto it = m_pending_closes.begin(); it != m_pending_closes.end();)
    {
        bool const over =
            now >= it->m_deadline || !primary_in_use(it->m_revision);
        if (over)
        {
            finished.push_back(std::move(*it));
            it = m_pending_closes.erase(it);
        }
        else
        {
            ++it;
        }
    }
    for (auto const& each : finished)
    {
        m_permit.close(each.m_revision);
        auto const pool = find_pool(each.m_primary);
        if (pool && primary_in_use(each.m_revision))
        {
            pool->close_all();
        }
        m_primary_uses.erase(m_primary_uses.begin(),
                             m_primary_uses.upper_bound(each.m_revision));
        m_observer.primary_closed(m_group, each.m_revision);
        if (each.m_on_closed)
        {
            each.m_on_closed();
        }
    }
}

void group_traffic::probe_if_stale(member_pool& pool, state::time_point now)
{
    if (is_primary(pool.member().m_id) || !pool.lag().needs_request(now))
    {
        return;
    }
    auto const connection = pool.acquire_any();
    if (!connection)
    {
        return; // the estimate decreases until a read is tried
    }
    pool.lag().record_request(now);
    auto const self = pool.shared_from_this();
    self->statement_started();
    connection->send(platform::member_report_request(), now + probe_timeout,
                     [this, self, connection,
                      alive = m_alive](std::optional<statement_reply> reply)
                     {
                         self->statement_finished(std::nullopt);
                         self->release(connection,
                                       reply && reply->m_phase ==
                                                    session_phase::idle);
                         if (*alive && reply && reply->m_position)
                         {
                             record_replica_position(*self, *reply->m_position);
                             dispatch();
                         }
                     });
}

void group_traffic::record_replica_position(member_pool& pool,
                                            state::log_position position)
{
    auto const next =
        state::log_position{position.m_term, position.m_index + 1};
    auto const passed = m_positions.reached_at(next);
    auto const now = state::clock::now();
    pool.lag().record_applied(position,
                              passed
                                  ? std::max(now - *passed, state::duration(0))
                                  : state::duration(0),
                              now);
}

void group_traffic::report_reachability(member_pool const& pool,
                                        state::time_point now)
{
    auto const& id = pool.member().m_id;
    bool const lost = pool.failing_since() &&
                      now - *pool.failing_since() >= unreachable_delay;
    if (lost && m_unreachable.insert(id).second)
    {
        m_observer.member_reached(m_group, id, false);
    }
    else if (!pool.failing_since() && m_unreachable.erase(id) != 0)
    {
        m_observer.member_reached(m_group, id, true);
    }
}

void group_traffic::report_exhaustion(member_pool const& pool,
                                      state::time_point now)
{
    auto const& id = pool.member().m_id;
    bool const exhausted =
        pool.exhausted() && pool.longest_use(now) >= exhausted_delay;
    if (exhausted && m_exhausted.insert(id).second)
    {
        m_observer.connections_exhausted(gauge_of(pool, now), true);
    }
    else if (!pool.exhausted() && m_exhausted.erase(id) != 0)
    {
        m_observer.connections_exhausted(gauge_of(pool, now), false);
    }
}

void group_traffic::sweep()
{
    auto const now = state::clock::now();
    finish_pending_closes();
    for (auto const& pool : m_pools)
    {
        pool->close_surplus(now);
        report_reachability(*pool, now);
        report_exhaustion(*pool, now);
        probe_if_stale(*pool, now);
        bool const unreachable =
            is_primary(pool->member().m_id) && pool->failing_since() &&
            now - *pool->failing_since() >= unreachable_delay;
        if (unreachable)
        {
            m_observer.primary_unreachable(m_group, pool->member().m_id);
        }
    }
    std::erase_if(m_removed_pools,
                  [](auto const& pool) {
                      return pool->connections() == 0 && pool->in_flight() == 0;
                  });
    for (auto const& pool : m_removed_pools)
    {
        if (pool->in_flight() == 0)
        {
            pool->close_all();
        }
    }
    dispatch();
}

member_gauge group_traffic::gauge_of(member_pool const& pool,
                                     state::time_point now) const
{
    member_gauge gauge;
    gauge.m_group = m_group;
    gauge.m_member = pool.member().m_id;
    gauge.m_primary = is_primary(gauge.m_member);
    gauge.m_connections = pool.connections();
    gauge.m_in_flight = pool.in_flight();
    gauge.m_lag = pool.lag().value(now);
    gauge.m_waiting = m_queue.size();
    gauge.m_connections_opened = pool.counts().m_opened;
    gauge.m_connections_reassigned = pool.counts().m_reassigned;
    gauge.m_opening_waits = pool.counts().m_opening_waits;
    gauge.m_connections_in_use = pool.connections_in_use();
    gauge.m_longest_use = pool.longest_use(now);
    gauge.m_overdue = pool.counts().m_overdue;
    return gauge;
}

std::vector<member_gauge> group_traffic::gauges() const
{
    auto const now = state::clock::now();
    std::vector<member_gauge> result;
    result.reserve(m_pools.size());
    for (auto const& pool : m_pools)
    {
        result.push_back(gauge_of(*pool, now));
    }
    return result;
}

} // namespace camphortide::proxy
