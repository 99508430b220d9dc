#include <algorithm>
#include <cmath>
#include <utility>

#include <camphortide/proxy/group_traffic.hpp>

namespace camphortide::proxy
{

namespace
{

/// Connections that may be opened above an instance's share while callers wait
/// for them.
constexpr std::size_t extra_connections = 1;
/// An instance keeps its share divided by this while idle. A member continues
/// to count the connections of a host that lost power for seconds; the
/// connections that aren't kept leave room for such an instance when it
/// restarts.
constexpr std::size_t idle_divisor = 2;
/// Margin added to the time that a position must cover: reading the clocks
/// takes a fraction of a ms.
constexpr state::duration position_margin{5};

} // namespace

group_traffic::group_traffic(boost::asio::io_context& context,
                             std::string group, traffic_observer& observer)
    : m_context(context),
      m_group(std::move(group)),
      m_observer(observer),
      m_timer(context)
{
}

group_traffic::~group_traffic()
{
    *m_alive = false;
    // Handlers of outstanding statements hold the connections that hold them.
    for (auto const* const pools : {&m_pools, &m_removed_pools})
    {
        for (auto const& pool : *pools)
        {
            pool->close_all();
        }
    }
}

void group_traffic::apply(fleet_view const& view)
{
    auto const limits = view.m_configuration->m_groups.find(m_group);
    if (limits != view.m_configuration->m_groups.end())
    {
        m_max_connections = limits->second.m_max_connections;
    }
    m_by_customer = view.m_configuration->m_customers.has_value();
    m_data_centre = view.m_data_centre;
    if (view.m_homes && view.m_homes->contains(m_group))
    {
        auto const& homes = view.m_homes->at(m_group);
        m_home_count = homes.m_count;
        m_is_home = homes.m_is_home;
        m_is_stand_in = homes.m_is_stand_in;
    }
    auto const status = view.m_primaries.find(m_group);
    if (status != view.m_primaries.end())
    {
        m_permit.renew(status->second);
        if (status->second.m_open)
        {
            m_positions.begin_term(status->second.m_term);
        }
    }
    apply_members(view);
    if (status != view.m_primaries.end() && status->second.m_closing)
    {
        close_primary(status->second.m_revision, status->second.m_orderly,
                      nullptr);
    }
    dispatch();
}

void group_traffic::apply_members(fleet_view const& view)
{
    auto const it = view.m_members.find(m_group);
    static std::vector<state::member_entry> const none;
    auto const& members = it == view.m_members.end() ? none : it->second;
    std::vector<std::shared_ptr<member_pool>> pools;
    for (auto const& member : members)
    {
        auto const same = [&](auto const& pool)
        {
            return pool && pool->member().m_id == member.m_id &&
                   pool->member().m_address == member.m_address;
        };
        auto const old = std::find_if(m_pools.begin(), m_pools.end(), same);
        if (old == m_pools.end())
        {
            pools.push_back(std::make_shared<member_pool>(m_context, member));
        }
        else
        {
            (*old)->update(member);
            pools.push_back(std::move(*old));
        }
        pools.back()->set_limits(connection_limits());
    }
    for (auto& pool : m_pools)
    {
        if (pool)
        {
            m_removed_pools.push_back(std::move(pool));
        }
    }
    m_pools = std::move(pools);
    for (auto const& entry : m_waiting)
    {
        entry.second->m_attempted_members =
            0; // the indexes of members have changed
    }
}

member_pool_limits group_traffic::connection_limits() const
{
    auto const shared = shared_connections(m_max_connections);
    auto const share = std::max<std::size_t>(1, shared / m_home_count);
    auto const kept = std::max<std::size_t>(1, share / idle_divisor);
    member_pool_limits limits;
    limits.m_by_customer = m_by_customer;
    limits.m_connections = m_is_home ? kept : 0;
    if (!m_is_home)
    {
        // The homes on the other side of a cut go on: a stand-in gets what one
        // of them doesn't keep, and may use all slots of a member. Any other
        // instance runs statements only if it reaches none of these.
        limits.m_extra_connections =
            m_is_stand_in ? std::max<std::size_t>(1, share - kept) : 1;
        return limits;
    }
    // Where connections are reassigned, a member may still count the closed one
    // when the new one arrives: an instance's extra connection is left unused.
    auto const extra =
        m_by_customer && share > 1 ? std::size_t{0} : extra_connections;
    limits.m_extra_connections = share + extra - limits.m_connections;
    limits.m_homes = m_home_count;
    return limits;
}

bool group_traffic::is_primary(std::string const& member) const
{
    return m_permit.status().m_primary == member;
}

coordination::placement_requirements
group_traffic::requirements_for(statement_request const& request) const
{
    coordination::placement_requirements requirements;
    requirements.m_attempted = request.m_attempted_members;
    requirements.m_primary = request.m_primary;
    if (requirements.m_primary)
    {
        return requirements;
    }
    auto covered = m_positions.covering(
        request.m_started - request.m_route->m_max_staleness + position_margin);
    bool known = covered.has_value();
    if (request.m_last_commit && known &&
        request.m_route->m_consistency ==
            state::read_consistency::read_your_writes)
    {
        auto const own = m_positions.current(*request.m_last_commit);
        known = own.has_value();
        covered = own ? std::max(*covered, *own) : covered;
    }
    requirements.m_primary = !known;
    requirements.m_required_position = covered;
    if (covered)
    {
        requirements.m_required_reached_at = m_positions.reached_at(*covered);
    }
    return requirements;
}

std::vector<coordination::member_condition>
group_traffic::conditions(std::string const& customer,
                          state::time_point now) const
{
    std::vector<coordination::member_condition> result;
    for (auto const& pool : m_pools)
    {
        bool const named = is_primary(pool->member().m_id);
        bool const allowed = named && m_permit.allows(now);
        auto condition = pool->condition(customer, allowed, now);
        condition.m_remote = pool->member().m_data_centre != m_data_centre;
        // A primary that is being replaced may have commits that will be rolled
        // back.
        condition.m_usable = condition.m_usable && (!named || allowed);
        result.push_back(condition);
    }
    return result;
}

} // namespace camphortide::proxy
