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

/// Receives the result of one call. Runs on a thread of gRPC; must not block.
template <typename Value>
using platform_callback = std::function<void(absl::StatusOr<Value>)>;

/// What a watch tells. All run on threads of gRPC, one at a time.
struct watch_handlers
{
    std::function<void(platform_change)> m_on_change;
    std::function<void(bool)> m_on_connected; ///< true: open; may be empty
};

/// A running watch. Ends when it is destroyed; afterwards no handler runs.
/// Must not be destroyed by one of its own handlers.
class platform_watch
{
public:
    virtual ~platform_watch() = default;
};

/// Calls the platform's object API. Every call has a deadline and ends with
/// exactly one callback. May be used from any thread.
class platform_client
{
public:
    /// @param address IP:PORT of the platform
    /// @param timeout the longest wait for an answer
    /// @param authority_file PEM of the authority for TLS; empty: no TLS
    platform_client(std::string const& address, state::duration timeout,
                    std::string const& authority_file = {});

    /// Cancels what is running and waits for its callbacks. Must not be run by
    /// one of them.
    ~platform_client();
    platform_client(platform_client const&) = delete;
    platform_client& operator=(platform_client const&) = delete;

    /// Reads an object.
    /// @param done may get not_found
    void get(std::string const& name,
             platform_callback<platform_object> const& done);

    /// Reads all objects whose names begin with a prefix.
    void list(std::string const& prefix,
              platform_callback<platform_objects> const& done);

    /// Creates or replaces an object.
    /// @param if_version its version; 0 if it must not exist
    /// @param done gets the new version; may get conflict or unknown_effect
    void put(std::string const& name, std::uint64_t if_version,
             std::string value, platform_callback<platform_object> const& done);

    /// Deletes an object.
    /// @param if_version its version
    /// @param done gets the version of the deletion
    void erase(std::string const& name, std::uint64_t if_version,
               platform_callback<std::uint64_t> const& done);

    /// Reads the list of instances.
    void list_instances(
        platform_callback<std::vector<platform_instance>> const& done);

    /// Watches all objects whose names begin with a prefix. When the watch
    /// breaks it is opened again after the last change seen.
    /// @param after_version changes up to it are left out
    std::unique_ptr<platform_watch> watch(std::string const& prefix,
                                          std::uint64_t after_version,
                                          watch_handlers handlers);

private:
    class calls;
    std::shared_ptr<calls> m_calls;
};

} // namespace camphortide::transport
