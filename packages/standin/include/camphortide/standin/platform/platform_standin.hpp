#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include <absl/status/statusor.h>
#include <grpcpp/security/server_credentials.h>

#include <camphortide/standin/platform/call_admission.hpp>
#include <camphortide/standin/platform/instance_list_model.hpp>
#include <camphortide/standin/platform/object_store_model.hpp>

namespace camphortide::standin
{

class platform_service;

/// Simulates the platform: serves its object store and its list of instances
/// over gRPC. Faults are injected by method calls from any thread.
class platform_standin
{
public:
    platform_standin();
    ~platform_standin();
    platform_standin(platform_standin const&) = delete;
    platform_standin& operator=(platform_standin const&) = delete;

    /// Starts the server.
    /// @param address IP:PORT; port 0 selects a free port
    /// @param credentials server credentials
    /// @return the address that clients connect to, or UNAVAILABLE if the
    ///     port is in use
    absl::StatusOr<std::string>
    listen(std::string const& address,
           std::shared_ptr<grpc::ServerCredentials> const& credentials =
               grpc::InsecureServerCredentials());

    /// Stops the server and cancels open calls.
    void stop();

    /// @param on true: every call fails with UNAVAILABLE and open watches break
    void set_outage(bool on);

    /// @param delay of every unary reply
    void set_delay(state::duration delay);

    /// Applies the next changes, but fails their calls with UNAVAILABLE as if
    /// the replies were lost.
    /// @param count the number of changes
    void lose_replies(std::uint32_t count);

    /// @param rates maximum calls per second; further calls fail with
    ///     RESOURCE_EXHAUSTED
    void set_rates(platform_rates rates);

    /// @return the number of calls
    platform_counts counts() const;

    /// Adds an instance to the list or replaces it.
    void set_instance(listed_instance instance);

    /// Removes an instance from the list.
    void remove_instance(std::string const& name);

    /// @param lag time from a change of the list until clients see it
    void set_instance_lag(state::duration lag);

    /// Creates or replaces an object, unaffected by faults and rates.
    /// @return the change, or why it was rejected
    change_result put(std::string const& name, std::uint64_t if_version,
                      std::string value);

    /// @return an object, unaffected by faults and rates
    std::optional<stored_object> get(std::string const& name) const;

private:
    std::unique_ptr<platform_service> m_service;
};

} // namespace camphortide::standin
