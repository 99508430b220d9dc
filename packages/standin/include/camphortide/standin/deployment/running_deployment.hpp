#pragma once

#include <chrono>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include <camphortide/standin/group/group_server.hpp>
#include <camphortide/standin/platform/platform_standin.hpp>
#include <camphortide/transport/instance/instance.hpp>
#include <camphortide/transport/settings/deployment.hpp>

namespace camphortide::standin
{

/// Runs a deployment in this process: the stand-ins of the platform and the
/// groups, and real instances that communicate over loopback.
class running_deployment
{
public:
    /// Starts the stand-ins and all instances.
    /// @param value the deployment
    /// @param token_key of all instances, in hexadecimal
    /// @param policy of all instances' gateways
    running_deployment(transport::deployment value, std::string token_key,
                       transport::gateway_policy const& policy = {});
    ~running_deployment();
    running_deployment(running_deployment const&) = delete;
    running_deployment& operator=(running_deployment const&) = delete;

    /// Waits until every instance has a catalogue and every group a primary.
    /// @return false if the timeout expires first
    bool wait_ready(std::chrono::milliseconds timeout);

    /// @return the address where an instance serves callers; empty while it
    ///     is stopped
    std::string caller_address(std::string const& instance) const;

    /// @return the address where an instance serves operators
    std::string admin_address(std::string const& instance) const;

    /// @return the names of the running instances
    std::vector<std::string> running() const;

    /// Stops an instance immediately, without a drain.
    void kill_instance(std::string const& name);

    /// Drains an instance, then stops it.
    /// @return true if the drain interrupted no work
    bool drain_instance(std::string const& name);

    /// Starts a stopped instance.
    /// @return false if it could not be started
    bool start_instance(std::string const& name);

    /// @return the instance; null while it is stopped
    std::shared_ptr<transport::instance>
    instance(std::string const& name) const;

    platform_standin& platform() { return m_platform; }
    std::string const& platform_address() const { return m_platform_address; }
    group_server& group(std::string const& name) { return *m_groups.at(name); }
    transport::deployment const& description() const { return m_deployment; }

private:
    void start_groups();
    void publish_catalogue();
    bool group_ready(std::string const& name) const;

    transport::deployment const m_deployment;
    std::string const m_token_key;
    transport::gateway_policy const m_policy;
    platform_standin m_platform;
    std::string m_platform_address;
    std::map<std::string, std::unique_ptr<group_server>> m_groups;
    mutable std::mutex m_mutex;
    std::map<std::string, std::shared_ptr<transport::instance>> m_instances;
};

} // namespace camphortide::standin
