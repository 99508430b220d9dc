#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <absl/status/statusor.h>

#include <camphortide/state/clock.hpp>
#include <camphortide/transport/platform/platform_values.hpp>

namespace camphortide::transport
{

/// Receives the result of one call. Called on a gRPC thread; must not block.
template <typename Value>
using platform_callback = std::function<void(absl::StatusOr<Value>)>;

/// Handlers of a watch's events. Called on gRPC threads, one at a time.
struct watch_handlers
{
    std::function<void(platform_change)> m_on_change;
    std::function<void(bool)> m_on_connected; ///< false: broken; may be empty
};

/// A running watch. Destroying it ends the watch; afterwards no handler is
/// called. A handler must not destroy its own watch.
class platform_watch
{
public:
    virtual ~platform_watch() = default;
};

/// Client of the platform's object API. Every call has a deadline and ends with
/// exactly one callback. May be used from any thread.
class platform_client
{
public:
    /// @param address IP:PORT of the platform
    /// @param timeout the longest wait for a reply
    /// @param authority_file PEM of the certificate authority for TLS; empty:
    ///     no TLS
    platform_client(std::string const& address, state::duration timeout,
                    std::string const& authority_file = {});

    /// Cancels the running calls and waits for their callbacks. A callback must
    /// not destroy the client.
    ~platform_client();
    platform_client(platform_client const&) = delete;
    platform_client& operator=(platform_client const&) = delete;

    /// Reads an object.
    /// @param done may receive not_found
    void get(std::string const& name,
             platform_callback<platform_object> const& done);

    /// Reads all objects whose names begin with a prefix.
    void list(std::string const& prefix,
              platform_callback<platform_objects> const& done);

    /// Creates or replaces an object.
    /// @param if_version the version that it must have; 0: it must not exist
    /// @param done receives the new version; may receive conflict or
    ///     unknown_effect
    void put(std::string const& name, std::uint64_t if_version,
             std::string value, platform_callback<platform_object> const& done);

    /// Deletes an object.
    /// @param if_version the version that it must have
    /// @param done receives the version of the deletion
    void erase(std::string const& name, std::uint64_t if_version,
               platform_callback<std::uint64_t> const& done);

    /// Reads the platform's list of instances.
    void list_instances(
        platform_callback<std::vector<platform_instance>> const& done);

    /// Watches all objects whose names begin with a prefix. A broken watch is
    /// reopened and continues after the last change received.
    /// @param after_version only later changes are delivered
    std::unique_ptr<platform_watch> watch(std::string const& prefix,
                                          std::uint64_t after_version,
                                          watch_handlers handlers);

private:
    class calls;
    std::shared_ptr<calls> m_calls;
};

} // namespace camphortide::transport
