#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include <absl/status/status.h>

namespace camphortide::transport
{

/// An object in the platform's store.
struct platform_object
{
    std::string m_name;
    std::uint64_t m_version = 0;
    std::string m_value;

    friend auto operator<=>(platform_object const&,
                            platform_object const&) = default;
};

/// The objects of a prefix at one version of the store.
struct platform_objects
{
    std::vector<platform_object> m_objects;
    std::uint64_t m_version = 0;

    friend auto operator<=>(platform_objects const&,
                            platform_objects const&) = default;
};

/// A change of an object. The value of a deleted object is empty.
struct platform_change
{
    platform_object m_object;
    bool m_deleted = false;

    friend auto operator<=>(platform_change const&,
                            platform_change const&) = default;
};

/// An instance in the platform's list.
struct platform_instance
{
    std::string m_name;
    std::string m_data_centre;
    std::string m_address; ///< HOST:PORT of the peer socket
    bool m_leaving = false;

    friend auto operator<=>(platform_instance const&,
                            platform_instance const&) = default;
};

/// Why a call to the platform failed.
enum class platform_failure
{
    none,
    conflict,       ///< other version in the store; nothing changed
    not_found,      ///< there is no such object
    unavailable,    ///< no reply to a read
    unknown_effect, ///< no reply to a change; it may have been made
    rate_limited,   ///< refused for the call rate; nothing changed
    refused,        ///< the request is invalid; nothing changed
    cancelled       ///< the client is closing
};

/// @return the failure that a call's status means; none for OK
platform_failure failure_of(absl::Status const& status);

} // namespace camphortide::transport
