#include <algorithm>
#include <thread>
#include <utility>

#include <camphortide/standin/deployment/catalogue_publisher.hpp>
#include <camphortide/standin/deployment/running_deployment.hpp>
#include <camphortide/transport/settings/deployment_file.hpp>

namespace camphortide::standin
{

namespace
{

constexpr std::chrono::milliseconds ready_poll_interval{5};

group_options to_group_options(transport::deployment const& deployment,
                               transport::deployment_group const& group)
{
    group_options options;
    options.m_name = group.m_name;
    for (auto const& member : group.m_members)
    {
        options.m_members.push_back(member.m_name);
    }
    options.m_connection_limit = group.m_connections;
    options.m_slots = group.m_slots;
    options.m_open_delay = group.m_open_time;
    options.m_statement_time = group.m_statement_time;
    options.m_network_delay = deployment.m_latency_between;
    options.m_receive_lag = group.m_receive_lag;
    options.m_apply_lag = group.m_apply_lag;
    return options;
}

} // namespace

running_deployment::running_deployment(transport::deployment value,
                                       std::string token_key,
                                       transport::gateway_policy const& policy)
    : m_deployment(std::move(value)),
      m_token_key(std::move(token_key)),
      m_policy(policy)
{
    m_platform_address =
        m_platform.listen("127.0.0.1:0").value_or(std::string());
    start_groups();
    publish_catalogue();
    for (auto const& one : m_deployment.m_instances)
    {
        start_instance(one.m_name);
    }
}

running_deployment::~running_deployment()
{
    for (auto const& name : running())
    {
        kill_instance(name);
    }
    m_platform.stop();
}

void running_deployment::start_groups()
{
    for (auto const& group : m_deployment.m_groups)
    {
        m_groups[group.m_name] = std::make_unique<group_server>(
            to_group_options(m_deployment, group));
    }
}

void running_deployment::publish_catalogue()
{
    std::vector<transport::deployed_member> addresses;
    for (auto const& group : m_deployment.m_groups)
    {
        for (auto const& member : group.m_members)
        {
            addresses.push_back(
                {member.m_name,
                 m_groups.at(group.m_name)->address(member.m_name)});
        }
    }
    publish_change(m_platform, initial_change(transport::make_catalogue(
                                                  m_deployment, addresses),
                                              "first"));
}

bool running_deployment::wait_ready(std::chrono::milliseconds timeout)
{
    auto const end = std::chrono::steady_clock::now() + timeout;
    while (std::chrono::steady_clock::now() < end)
    {
        auto const names = running();
        bool const catalogues =
            std::ranges::all_of(names, [this](auto const& name)
                                { return instance(name)->ready(); });
        bool const primaries =
            std::ranges::all_of(m_groups, [this](auto const& item)
                                { return group_ready(item.first); });
        if (catalogues && primaries)
        {
            return true;
        }
        std::this_thread::sleep_for(ready_poll_interval);
    }
    return false;
}

bool running_deployment::group_ready(std::string const& name) const
{
    std::scoped_lock const lock(m_mutex);
    return std::ranges::any_of(m_instances, [&name](auto const& item)
                               { return item.second->knows_primary(name); });
}

std::string running_deployment::caller_address(std::string const& name) const
{
    auto const found = instance(name);
    return found ? found->caller_address() : std::string();
}

std::string running_deployment::admin_address(std::string const& name) const
{
    auto const found = instance(name);
    return found ? found->admin_address() : std::string();
}

std::vector<std::string> running_deployment::running() const
{
    std::scoped_lock const lock(m_mutex);
    std::vector<std::string> names;
    for (auto const& [name, one] : m_instances)
    {
        names.push_back(name);
    }
    return names;
}

void running_deployment::kill_instance(std::string const& name)
{
    std::shared_ptr<transport::instance> removed;
    {
        std::scoped_lock const lock(m_mutex);
        auto const found = m_instances.find(name);
        if (found == m_instances.end())
        {
            return;
        }
        removed = std::move(found->second);
        m_instances.erase(found);
    }
    m_platform.remove_instance(name);
}

bool running_deployment::drain_instance(std::string const& name)
{
    auto const found = instance(name);
    bool const clean = found && found->drain();
    kill_instance(name);
    return clean;
}

bool running_deployment::start_instance(std::string const& name)
{
    auto const described =
        std::ranges::find(m_deployment.m_instances, name,
                          &transport::deployment_instance::m_name);
    if (described == m_deployment.m_instances.end())
    {
        return false;
    }
    transport::instance_settings settings;
    settings.m_name = name;
    settings.m_data_centre = described->m_data_centre;
    settings.m_region = m_deployment.m_region;
    settings.m_listen_callers = "127.0.0.1:0";
    settings.m_listen_peers = "127.0.0.1:0";
    settings.m_listen_admin = "127.0.0.1:0";
    settings.m_platform_address = m_platform_address;
    settings.m_homes_per_group = m_deployment.m_homes_per_group;
    settings.m_token_keys = {m_token_key};
    auto started = transport::instance::start(settings, m_policy);
    if (!started.ok())
    {
        return false;
    }
    std::shared_ptr<transport::instance> const running = *std::move(started);
    m_platform.set_instance(
        {name, described->m_data_centre, running->peer_address(), false});
    std::scoped_lock const lock(m_mutex);
    m_instances[name] = running;
    return true;
}

std::shared_ptr<transport::instance>
running_deployment::instance(std::string const& name) const
{
    std::scoped_lock const lock(m_mutex);
    auto const found = m_instances.find(name);
    return found == m_instances.end() ? nullptr : found->second;
}

} // namespace camphortide::standin
