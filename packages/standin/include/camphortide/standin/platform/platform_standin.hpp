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

/// The stand-in of the platform: its object API and its list of instances on
/// a gRPC server. Faults are switched by plain calls, from any thread.
class platform_standin
{
public:
    platform_standin();
    ~platform_standin();
    platform_standin(platform_standin const&) = delete;
    platform_standin& operator=(platform_standin const&) = delete;

    /// Begins to serve.
    /// @param address IP:PORT; port 0 takes a free one
    /// @param credentials of the server
    /// @return the address that clients use, or UNAVAILABLE if the port is
    ///     taken
    absl::StatusOr<std::string>
    listen(std::string const& address,
           std::shared_ptr<grpc::ServerCredentials> const& credentials =
               grpc::InsecureServerCredentials());

    /// Ends the service; open calls are broken.
    void stop();

    /// @param on every call fails with UNAVAILABLE and open watches break
    void set_outage(bool on);

    /// @param delay the time that every answer waits
    void set_delay(state::duration delay);

    /// The next changes take effect, but their replies are lost.
    /// @param count the number of changes
    void lose_replies(std::uint32_t count);

    /// @param rates the most calls a second, above which they are refused
    void set_rates(platform_rates rates);

    /// @return how many calls there have been
    platform_counts counts() const;

    /// Adds or replaces an instance of the list.
    void set_instance(listed_instance instance);

    /// Removes an instance of the list.
    void remove_instance(std::string const& name);

    /// @param lag the time until a change of the list shows
    void set_instance_lag(state::duration lag);

    /// Changes an object past all faults and limits.
    /// @return the change, or why it was refused
    change_result put(std::string const& name, std::uint64_t if_version,
                      std::string value);

    /// @return an object, past all faults and limits
    std::optional<stored_object> get(std::string const& name) const;

private:
    std::unique_ptr<platform_service> m_service;
};

} // namespace camphortide::standin
