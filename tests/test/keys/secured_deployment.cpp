#include "secured_deployment.hpp"

#include <thread>

#include <doctest/doctest.h>

#include <camphortide/standin/deployment/catalogue_publisher.hpp>
#include <camphortide/transport/settings/deployment_file.hpp>

namespace camphortide::tests
{

namespace
{

constexpr std::chrono::milliseconds poll_interval{5};
constexpr char const* any_port = "127.0.0.1:0";

} // namespace

secured_deployment::secured_deployment(server_credentials const& platform,
                                       server_credentials const& members)
    : m_platform_address(m_platform.listen(any_port, platform).value())
{
    auto const description = small_deployment(1, std::nullopt);
    auto const& group = description.m_groups.front();
    standin::group_options options;
    options.m_name = group.m_name;
    options.m_credentials = members;
    for (auto const& member : group.m_members)
    {
        options.m_members.push_back(member.m_name);
    }
    m_group = std::make_unique<standin::group_server>(options);
    std::vector<transport::deployed_member> addresses;
    for (auto const& name : options.m_members)
    {
        addresses.push_back({name, m_group->address(name)});
    }
    standin::publish_change(
        m_platform,
        standin::initial_change(
            transport::make_catalogue(description, addresses), "first"));
}

transport::instance_settings
secured_deployment::settings(std::string const& name) const
{
    transport::instance_settings result;
    result.m_name = name;
    result.m_data_centre = "sede-centro";
    result.m_listen_callers = any_port;
    result.m_listen_peers = any_port;
    result.m_listen_admin = any_port;
    result.m_platform_address = m_platform_address;
    result.m_homes_per_group = std::nullopt;
    result.m_token_keys = {token_key};
    return result;
}

std::unique_ptr<transport::instance>
secured_deployment::start(transport::instance_settings const& settings)
{
    auto started = transport::instance::start(settings);
    REQUIRE(started.ok());
    return *std::move(started);
}

bool secured_deployment::wait_ready(transport::instance const& instance,
                                    std::chrono::milliseconds max_wait)
{
    auto const end = std::chrono::steady_clock::now() + max_wait;
    while (!instance.ready() || !instance.knows_primary("loans"))
    {
        if (std::chrono::steady_clock::now() >= end)
        {
            return false;
        }
        std::this_thread::sleep_for(poll_interval);
    }
    return true;
}

} // namespace camphortide::tests
