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

/// Time limit for a retired gateway to complete its requests.
constexpr state::duration retire_timeout{10000};
/// Time after the start in which the view may be incomplete.
constexpr state::duration view_settle_time{5000};
/// Upper bound of the homes for which shares are reserved until the view has
/// settled, where every instance is a home.
constexpr std::size_t max_expected_homes = 8;
/// Time between two requests for the same switchover.
constexpr state::duration switchover_request_interval{1000};

} // namespace

home_control::home_control(home_settings settings, home_registry& registry,
                           peer_exchange& exchange, platform_client* platform,
                           std::shared_ptr<control_loop> loop)
    : m_settings(std::move(settings)),
      m_registry(registry),
      m_loop(std::move(loop)),
      m_pauses(m_settings.m_self, registry, exchange),
      m_ledgers({m_settings.m_self, m_settings.m_incarnation},
                m_settings.m_max_leave_time, platform, m_loop)
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
    m_table = coordination::home_table(view, m_settings.m_homes_per_group);
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
    for (auto& [name, hosted] : m_hosted_groups)
    {
        if (m_catalogue->find_group(name) == nullptr)
        {
            retire(name, hosted, state::clock::now());
        }
    }
    m_registry.set_homes(std::move(homes));
}

void home_control::update(state::group_description const& group,
                          std::vector<std::string> const& homes)
{
    auto const found = m_hosted_groups.find(group.m_name);
    bool const is_home =
        std::ranges::find(homes, m_settings.m_self) != homes.end();
    if (!is_home)
    {
        if (found != m_hosted_groups.end())
        {
            retire(group.m_name, found->second, state::clock::now());
        }
        return;
    }
    auto& hosted = m_hosted_groups[group.m_name];
    if (hosted.m_control &&
        (hosted.m_gateway_closed ||
         !same_members(hosted.m_control->gateway()->group(), group)))
    {
        hosted.m_control->gateway()->close();
        hosted.m_control.reset();
        hosted.m_gateway_closed = false;
    }
    if (!hosted.m_control)
    {
        hosted.m_control = make_control(group);
        log_info(log_part::homes, "The instance is now a home of the group.",
                 {{"group", group.m_name}, {"homes", homes.size()}});
    }
    hosted.m_retire_deadline.reset();
    bool const changed = std::exchange(hosted.m_homes, homes) != homes;
    set_limits(hosted, group);
    if (hosted.m_control)
    {
        m_registry.set(hosted.m_control->gateway());
        m_registry.erase_retired(group.m_name);
    }
    if (changed && hosted.m_control)
    {
        hosted.m_control->gateway()->with_shares([](share_control& shares)
                                                 { shares.homes_changed(); });
    }
}

void home_control::post_to_group(std::string const& group,
                                 std::function<void(group_control&)> run)
{
    m_loop->post(
        [this, group, run = std::move(run)]
        {
            auto const found = m_hosted_groups.find(group);
            if (found != m_hosted_groups.end() && found->second.m_control &&
                !found->second.m_retire_deadline)
            {
                run(*found->second.m_control);
            }
        });
}

std::shared_ptr<group_control>
home_control::make_control(state::group_description const& group)
{
    std::vector<std::string> members;
    for (auto const& member : group.m_members)
    {
        members.push_back(member.m_name);
    }
    auto const identity = m_settings.m_self + "/" +
                          std::to_string(m_settings.m_incarnation) + "/" +
                          std::to_string(++m_monitor_count);
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
            post_to_group(name, [status](group_control& control)
                          { control.status_received(status); });
        },
        [this, name](std::string const& member)
        {
            post_to_group(name, [member](group_control& control)
                          { control.member_unreachable(member); });
        },
        m_settings.m_policy);
    gateway->start(m_settings.m_members_authority);
    if (m_ledgers.has_store())
    {
        m_ledgers.assign_holder(*gateway);
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

void home_control::set_limits(hosted_group& hosted,
                              state::group_description const& group)
{
    if (!hosted.m_control)
    {
        return;
    }
    // Without a store, the limits are divided by the number of homes in this
    // instance's own view.
    auto const homes = std::max<std::size_t>(1, hosted.m_homes.size());
    auto const expected =
        m_view_settled ? homes
                       : std::max(homes, std::min(m_settings.m_homes_per_group,
                                                  max_expected_homes));
    auto const divisor = m_ledgers.has_store() ? 1 : homes;
    auto const connections = group.m_connection_limit / divisor;
    std::vector<coordination::entry_limits> limits;
    for (auto const& entry : m_catalogue->entries())
    {
        if (entry.m_group == group.m_name)
        {
            limits.push_back(limits_of(entry, divisor));
        }
    }
    hosted.m_control->gateway()->with_shares(
        [&](share_control& shares)
        {
            m_ledgers.has_store()
                ? shares.set_group(m_catalogue->version(), expected,
                                   connections, limits)
                : shares.set_fixed(std::max<std::size_t>(1, connections),
                                   limits);
        });
}

void home_control::retire(std::string const& group, hosted_group& hosted,
                          state::time_point now)
{
    if (hosted.m_retire_deadline)
    {
        return;
    }
    hosted.m_retire_deadline = now + retire_timeout;
    m_registry.retire(group);
    log_info(log_part::homes, "The instance is no longer a home of the group.",
             {{"group", group}});
}

void home_control::tick(state::time_point now)
{
    if (!m_view_settled && now >= m_start_time + view_settle_time)
    {
        m_view_settled = true;
        reconcile();
    }
    for (auto it = m_hosted_groups.begin(); it != m_hosted_groups.end();)
    {
        auto& hosted = it->second;
        tick_shares(hosted, now);
        if (hosted.m_retire_deadline && finish_retirement(hosted, now))
        {
            m_registry.erase_retired(it->first);
            it = m_hosted_groups.erase(it);
            continue;
        }
        if (hosted.m_control)
        {
            tick(it->first, hosted, now);
        }
        ++it;
    }
    m_pauses.tick(now);
}

void home_control::tick_shares(hosted_group& hosted, state::time_point now)
{
    if (!hosted.m_control)
    {
        return;
    }
    auto const& gateway = hosted.m_control->gateway();
    bool const leaving = hosted.m_retire_deadline &&
                         (hosted.m_gateway_closed || gateway->idle());
    hosted.m_shares_returned = m_ledgers.tick(gateway, leaving, now) && leaving;
}

bool home_control::finish_retirement(hosted_group& hosted,
                                     state::time_point now) const
{
    if (!hosted.m_control)
    {
        return true;
    }
    auto const& gateway = hosted.m_control->gateway();
    bool const done = gateway->idle() && hosted.m_shares_returned;
    if (!hosted.m_gateway_closed && (done || now >= *hosted.m_retire_deadline))
    {
        gateway->close();
        hosted.m_gateway_closed = true;
    }
    return hosted.m_gateway_closed &&
           hosted.m_shares_returned; // shares are returned in any case
}

void home_control::tick(std::string const& group, hosted_group& hosted,
                        state::time_point now)
{
    hosted.m_control->gateway()->tick(now);
    if (hosted.m_retire_deadline)
    {
        return;
    }
    hosted.m_control->tick(now);
    if (m_pauses.other_homes_drained(group))
    {
        hosted.m_control->other_homes_drained();
    }
    hosted.m_control->set_paused_by_other_home(
        m_pauses.paused_by_other_home(group, now));
}

void home_control::apply(coordination::stop_plan const& plan,
                         state::time_point now)
{
    for (auto& [name, hosted] : m_hosted_groups)
    {
        if (!hosted.m_control)
        {
            continue;
        }
        auto const& gateway = *hosted.m_control->gateway();
        std::vector<std::string> leaving;
        for (auto const& member : gateway.group().m_members)
        {
            if (member.m_leaving || plan.excludes({name, member.m_name}))
            {
                leaving.push_back(member.m_name);
            }
        }
        hosted.m_control->gateway()->set_leaving(leaving);
    }
    for (auto const& member : plan.m_switch_over)
    {
        auto const found = m_hosted_groups.find(member.m_group);
        if (found == m_hosted_groups.end() || !found->second.m_control ||
            now - found->second.m_last_switchover_request <
                switchover_request_interval)
        {
            continue;
        }
        found->second.m_last_switchover_request = now;
        found->second.m_control->request_switchover({});
    }
}

std::vector<coordination::member_observation> home_control::observations() const
{
    std::vector<coordination::member_observation> result;
    for (auto const& [name, hosted] : m_hosted_groups)
    {
        if (!hosted.m_control)
        {
            continue;
        }
        auto const& primary = hosted.m_control->monitor().primary();
        for (auto const& status : hosted.m_control->monitor().statuses())
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
    return std::ranges::all_of(m_hosted_groups,
                               [](auto const& item)
                               {
                                   auto const& control = item.second.m_control;
                                   return !control ||
                                          control->gateway()->writes_drained();
                               });
}

void home_control::close()
{
    for (auto const& [group, hosted] : m_hosted_groups)
    {
        m_registry.erase(group);
        m_registry.erase_retired(group);
        if (hosted.m_control)
        {
            hosted.m_control->gateway()->close();
        }
    }
    m_hosted_groups.clear();
}

} // namespace camphortide::transport
