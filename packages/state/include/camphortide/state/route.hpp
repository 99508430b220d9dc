#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include <camphortide/state/clock.hpp>

namespace camphortide::state
{

/// How fresh the reads of a route have to be.
enum class read_consistency
{
    primary,           ///< every acknowledged commit
    bounded_staleness, ///< commits older than the bound
    read_your_writes   ///< the bound, and the session's own commits
};

/// Where the sessions of one database go, and their limits.
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

    friend auto operator<=>(route const&, route const&) = default;
};

/// What the configuration says of a group of members.
struct group_limits
{
    std::uint32_t m_max_connections = 0; ///< of each member, over all clients
    std::uint32_t m_sync_replicas = 0;

    friend auto operator<=>(group_limits const&, group_limits const&) = default;
};

/// One version of the configuration, as a whole.
struct configuration
{
    std::uint64_t m_version = 0;
    std::map<std::string, route, std::less<>> m_routes; ///< by database
    std::map<std::string, group_limits, std::less<>> m_groups;
    duration m_transaction_idle_timeout{};

    friend auto operator<=>(configuration const&,
                            configuration const&) = default;
};

} // namespace camphortide::state
