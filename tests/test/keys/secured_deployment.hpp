#pragma once

#include "small_deployment.hpp"

#include <memory>
#include <string>

#include <camphortide/standin/group/group_server.hpp>
#include <camphortide/standin/platform/platform_standin.hpp>
#include <camphortide/transport/instance/instance.hpp>

namespace camphortide::tests
{

/// A platform and a group whose servers use specified credentials. Tests start
/// instances with their own settings.
class secured_deployment
{
public:
    using server_credentials = std::shared_ptr<grpc::ServerCredentials>;

    /// @param platform credentials of the platform's server
    /// @param members credentials of the members' servers
    secured_deployment(server_credentials const& platform,
                       server_credentials const& members);

    /// @return settings of an instance, with a token key but without TLS
    transport::instance_settings settings(std::string const& name) const;

    /// Starts an instance.
    /// @return the instance, possibly before it is ready
    static std::unique_ptr<transport::instance>
    start(transport::instance_settings const& settings);

    /// Waits until an instance has a catalogue and knows the primary.
    /// @return false on timeout
    static bool wait_ready(transport::instance const& instance,
                           std::chrono::milliseconds max_wait);

private:
    standin::platform_standin m_platform;
    std::string m_platform_address;
    std::unique_ptr<standin::group_server> m_group;
};

} // namespace camphortide::tests
