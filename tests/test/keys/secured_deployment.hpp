#pragma once

#include "small_deployment.hpp"

#include <memory>
#include <string>

#include <camphortide/standin/group/group_server.hpp>
#include <camphortide/standin/platform/platform_standin.hpp>
#include <camphortide/transport/instance/instance.hpp>

namespace camphortide::tests
{

/// A platform and a group whose servers have given credentials, for instances
/// that a test starts with settings of its own.
class secured_deployment
{
public:
    using server_credentials = std::shared_ptr<grpc::ServerCredentials>;

    /// @param platform of the platform's server
    /// @param members of the members' servers
    secured_deployment(server_credentials const& platform,
                       server_credentials const& members);

    /// @return settings of an instance without keys but the token's
    transport::instance_settings settings(std::string const& name) const;

    /// Starts an instance.
    /// @return the instance, whether it becomes ready or not
    static std::unique_ptr<transport::instance>
    start(transport::instance_settings const& settings);

    /// Waits until an instance has a catalogue and knows the primary.
    /// @return false if the time is over before
    static bool wait_ready(transport::instance const& instance,
                           std::chrono::milliseconds max_wait);

private:
    standin::platform_standin m_platform;
    std::string m_platform_address;
    std::unique_ptr<standin::group_server> m_group;
};

} // namespace camphortide::tests
