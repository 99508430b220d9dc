#include <algorithm>
#include <set>
#include <utility>

#include <camphortide/coordination/fleet/rendezvous.hpp>
#include <camphortide/coordination/group/group_monitor_builder.hpp>
#include <camphortide/transport/instance/home_control.hpp>
#include <camphortide/transport/instance/limit_conversion.hpp>
#include <camphortide/transport/logging/log.hpp>

namespace camphortide::transport
{

namespace
{

/// How long a former home may take to end what is under way.
constexpr state::duration retire_within{10000};
/// How long after the start the view may lack instances.
constexpr state::duration settling{5000};
/// Homes that shares are kept for meanwhile, where every instance is one.
constexpr std::size_t most_expected_homes = 8;
/// Between two requests for the same switchover.
constexpr state::duration switch_interval{1000};

} // namespace

home_control::home_control(home_settings settings, home_registry& registry,
                           peer_exchange& exchange, platform_client* platform,
                           std::shared_ptr<control_loop> loop)
    : m_settings(std::move(settings)),
      m_registry(registry),
      m_loop(std::move(loop)),
      m_pauses(m_settings.m_self, registry, exchange),
      m_ledgers({m_settings.m_self, m_settings.m_incarnation},
                m_settings.m_leave_time, platform, m_loop)
{
}

void home_control::on_catalogue(
    std::shared_ptr<state::catalogue const> catalogue)
{
    m_catalogue = std::move(catalogue);
    reconcile();
}

void home_control::on_view(std::vector<state::instance_record> const& view)
{
    m_ledgers.on_view(view, state::clock::now());
    m_table = coordination::home_table(view, m_settings.m_homes);
    reconcile();
}

void home_control::reconcile()
{
    if (!m_catalogue)
    {
        return;
    }
    std::map<std::string, std::vector<std::string>, std::less<>> homes;
    for (auto const& group : m_catalogue->groups())
    {
        auto& names = homes[group.m_name];
        for (auto const& record : m_table.homes_of(group.m_name))
        {
            names.push_back(record.m_name);
        }
        update(group, names);
    }
    for (auto& [name, one] : m_home)
    {
        if (m_catalogue->find_group(name) == nullptr)
        {
            retire(name, one, state::clock::now());
        }
    }
    m_registry.set_homes(std::move(homes));
}

void home_control::update(state::group_description const& group,
                          std::vector<std::string> const& homes)
{
    auto const found = m_home.find(group.m_name);
    bool const here =
        std::ranges::find(homes, m_settings.m_self) != homes.end();
    if (!here)
    {
        if (found != m_home.end())
        {
            retire(group.m_name, found->second, state::clock::now());
        }
        return;
    }
    auto& one = m_home[group.m_name];
    if (one.m_control &&
        (one.m_closed ||
         !same_members(one.m_control->gateway()->group(), group)))
    {
        one.m_control->gateway()->close();
        one.m_control.reset();
        one.m_closed = false;
    }
    if (!one.m_control)
    {
        one.m_control = make(group);
        log_info(log_part::homes, "This is a home of a group.",
                 {{"group", group.m_name}, {"homes", homes.size()}});
    }
    one.m_retire_at.reset();
    bool const moved = std::exchange(one.m_homes, homes) != homes;
    set_limits(one, group);
    if (one.m_control)
    {
        m_registry.set(one.m_control->gateway());
        m_registry.forget(group.m_name);
    }
    if (moved && one.m_control)
    {
        one.m_control->gateway()->with_shares([](share_control& shares)
                                              { shares.homes_changed(); });
    }
}

void home_control::post_to(std::string const& group,
                           std::function<void(group_control&)> run)
{
    m_loop->post(
        [this, group, run = std::move(run)]
        {
            auto const found = m_home.find(group);
            if (found != m_home.end() && found->second.m_control &&
                !found->second.m_retire_at)
            {
                run(*found->second.m_control);
            }
        });
}

std::shared_ptr<group_control>
home_control::make(state::group_description const& group)
{
    std::vector<std::string> members;
    for (auto const& member : group.m_members)
    {
        members.push_back(member.m_name);
    }
    auto const identity = m_settings.m_self + "/" +
                          std::to_string(m_settings.m_incarnation) + "/" +
                          std::to_string(++m_monitors);
    auto const hash = coordination::hash_name(identity + "/" + group.m_name);
    auto monitor = coordination::group_monitor_builder()
                       .proposer(identity)
                       .tag(hash)
                       .seed(hash)
                       .members(std::move(members))
                       .settings(m_settings.m_group)
                       .build();
    if (!monitor.ok())
    {
        log_error(
            log_part::group, "A group cannot be watched.",
            {{"group", group.m_name}, {"why", monitor.status().ToString()}});
        return nullptr;
    }
    auto const name = group.m_name;
    auto gateway = std::make_shared<group_gateway>(
        group,
        [this, name](state::member_status const& status)
        {
            post_to(name, [status](group_control& control)
                    { control.status_received(status); });
        },
        [this, name](std::string const& member)
        {
            post_to(name, [member](group_control& control)
                    { control.member_unreachable(member); });
        },
        m_settings.m_policy);
    gateway->start(m_settings.m_members_authority);
    if (m_ledgers.shares())
    {
        m_ledgers.start(*gateway);
    }
    return std::make_shared<group_control>(
        gateway, *std::move(monitor), m_loop,
        group_control::handlers{
            [this](std::string const& paused_group, bool paused)
            { m_pauses.announce(paused_group, paused); },
            [](std::string const& switched,
               coordination::switchover_ended const& end)
            {
                log_info(log_part::group, "A switchover ended.",
                         {{"group", switched},
                          {"primary", end.m_primary},
                          {"result", static_cast<int>(end.m_result)}});
            }});
}

void home_control::set_limits(home& of, state::group_description const& group)
{
    if (!of.m_control)
    {
        return;
    }
    // Without a store there is nobody to share with but by the own view.
    auto const homes = std::max<std::size_t>(1, of.m_homes.size());
    auto const expected = m_view_settled
                              ? homes
                              : std::max(homes, std::min(m_settings.m_homes,
                                                         most_expected_homes));
    auto const parts = m_ledgers.shares() ? 1 : homes;
    auto const connections = group.m_connection_limit / parts;
    std::vector<coordination::entry_limits> limits;
    for (auto const& entry : m_catalogue->entries())
    {
        if (entry.m_group == group.m_name)
        {
            limits.push_back(limits_of(entry, parts));
        }
    }
    of.m_control->gateway()->with_shares(
        [&](share_control& shares)
        {
            m_ledgers.shares()
                ? shares.set_group(m_catalogue->version(), expected,
                                   connections, limits)
                : shares.set_fixed(std::max<std::size_t>(1, connections),
                                   limits);
        });
}

void home_control::retire(std::string const& group, home& one,
                          state::time_point now)
{
    if (one.m_retire_at)
    {
        return;
    }
    one.m_retire_at = now + retire_within;
    m_registry.retire(group);
    log_info(log_part::homes, "This is a home of a group no more.",
             {{"group", group}});
}

void home_control::tick(state::time_point now)
{
    if (!m_view_settled && now >= m_started + settling)
    {
        m_view_settled = true;
        reconcile();
    }
    for (auto it = m_home.begin(); it != m_home.end();)
    {
        auto& one = it->second;
        step_shares(one, now);
        if (one.m_retire_at && is_over(one, now))
        {
            m_registry.forget(it->first);
            it = m_home.erase(it);
            continue;
        }
        if (one.m_control)
        {
            tick(it->first, one, now);
        }
        ++it;
    }
    m_pauses.tick(now);
}

void home_control::step_shares(home& one, state::time_point now)
{
    if (!one.m_control)
    {
        return;
    }
    auto const& gateway = one.m_control->gateway();
    bool const leaves = one.m_retire_at && (one.m_closed || gateway->idle());
    one.m_left = m_ledgers.step(gateway, leaves, now) && leaves;
}

bool home_control::is_over(home& one, state::time_point now) const
{
    if (!one.m_control)
    {
        return true;
    }
    auto const& gateway = one.m_control->gateway();
    bool const done = gateway->idle() && one.m_left;
    if (!one.m_closed && (done || now >= *one.m_retire_at))
    {
        gateway->close();
        one.m_closed = true;
    }
    return one.m_closed && one.m_left; // shares are given back in any case
}

void home_control::tick(std::string const& group, home& one,
                        state::time_point now)
{
    one.m_control->gateway()->tick(now);
    if (one.m_retire_at)
    {
        return;
    }
    one.m_control->tick(now);
    if (m_pauses.others_drained(group))
    {
        one.m_control->others_drained();
    }
    one.m_control->pause_for_other(m_pauses.pauses(group, now));
}

void home_control::apply(coordination::stop_plan const& plan,
                         state::time_point now)
{
    for (auto& [name, one] : m_home)
    {
        if (!one.m_control)
        {
            continue;
        }
        auto const& gateway = *one.m_control->gateway();
        std::vector<std::string> leaving;
        for (auto const& member : gateway.group().m_members)
        {
            if (member.m_leaving || plan.excludes({name, member.m_name}))
            {
                leaving.push_back(member.m_name);
            }
        }
        one.m_control->gateway()->set_leaving(leaving);
    }
    for (auto const& place : plan.m_switch_over)
    {
        auto const found = m_home.find(place.m_group);
        if (found == m_home.end() || !found->second.m_control ||
            now - found->second.m_switch_asked < switch_interval)
        {
            continue;
        }
        found->second.m_switch_asked = now;
        found->second.m_control->request_switchover({});
    }
}

std::vector<coordination::member_observation> home_control::observations() const
{
    std::vector<coordination::member_observation> result;
    for (auto const& [name, one] : m_home)
    {
        if (!one.m_control)
        {
            continue;
        }
        auto const& primary = one.m_control->monitor().primary();
        for (auto const& status : one.m_control->monitor().statuses())
        {
            result.push_back({{name, status.m_member},
                              primary && primary->m_member == status.m_member,
                              status.m_leaving,
                              status.m_connections});
        }
    }
    return result;
}

bool home_control::idle() const
{
    return std::ranges::all_of(m_home,
                               [](auto const& item)
                               {
                                   auto const& control = item.second.m_control;
                                   return !control ||
                                          control->gateway()->writes_drained();
                               });
}

void home_control::close()
{
    for (auto const& [group, one] : m_home)
    {
        m_registry.erase(group);
        m_registry.forget(group);
        if (one.m_control)
        {
            one.m_control->gateway()->close();
        }
    }
    m_home.clear();
}

} // namespace camphortide::transport
