#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include <camphortide/state/clock.hpp>
#include <camphortide/state/customer_directory.hpp>

namespace camphortide::state
{

/// Consistency that the reads of a route require.
enum class read_consistency
{
    primary,           ///< reads see every acknowledged commit
    bounded_staleness, ///< reads see all commits older than the bound
    read_your_writes   ///< bounded, plus the session's own commits
};

/// The group that serves the sessions of one database, and their limits.
struct route
{
    std::string m_name;
    std::string m_database;
    std::string m_group;
    read_consistency m_consistency = read_consistency::primary;
    duration m_max_staleness{};
    duration m_statement_timeout{};
    duration m_target_latency{};
    std::uint32_t m_priority = 0; ///< 0 is the highest
    bool m_anonymous = false;     ///< callers need no key

    friend auto operator<=>(route const&, route const&) = default;
};

/// Limits of a group of members, from the configuration.
struct group_limits
{
    std::uint32_t m_max_connections = 0; ///< per member, over all clients
    std::uint32_t m_sync_replicas = 0;

    friend auto operator<=>(group_limits const&, group_limits const&) = default;
};

/// One complete version of the configuration.
struct configuration
{
    std::uint64_t m_version = 0;
    std::map<std::string, route, std::less<>> m_routes; ///< by database
    std::map<std::string, group_limits, std::less<>> m_groups;
    duration m_transaction_idle_timeout{};
    /// Nothing: callers are not told apart, and need no key.
    std::optional<customer_directory> m_customers;

    friend bool operator==(configuration const&,
                           configuration const&) = default;
};

} // namespace camphortide::state
