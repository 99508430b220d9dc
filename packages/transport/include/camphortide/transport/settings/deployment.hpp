#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <camphortide/state/entry_limits.hpp>

namespace camphortide::transport
{

/// An instance of a deployment.
struct deployment_instance
{
    std::string m_name;
    std::string m_data_centre;

    friend auto operator<=>(deployment_instance const&,
                            deployment_instance const&) = default;
};

/// A member of a deployment's database group.
struct deployment_member
{
    std::string m_name;
    std::string m_data_centre;

    friend auto operator<=>(deployment_member const&,
                            deployment_member const&) = default;
};

/// A database group of a deployment, as the stand-in plays it.
struct deployment_group
{
    std::string m_name;
    std::vector<deployment_member> m_members;
    std::uint32_t m_slots = 2;        ///< statements a member runs at a time
    std::uint32_t m_connections = 16; ///< of each member
    std::chrono::microseconds m_open_time{12000};
    std::chrono::microseconds m_statement_time{1000};
    std::chrono::microseconds m_receive_lag{1000};
    std::chrono::microseconds m_apply_lag{5000};

    friend auto operator<=>(deployment_group const&,
                            deployment_group const&) = default;
};

/// An owner of catalogue entries.
struct deployment_owner
{
    std::string m_name;
    std::string m_credential; ///< the secret itself; for demonstrations

    friend auto operator<=>(deployment_owner const&,
                            deployment_owner const&) = default;
};

/// A class of traffic; makes one catalogue entry for each of its groups.
struct deployment_entry
{
    std::string m_name;
    std::string m_owner;
    std::string m_class_name;
    std::vector<std::string> m_groups;
    state::entry_limits m_limits;

    friend auto operator<=>(deployment_entry const&,
                            deployment_entry const&) = default;
};

/// What one request of a stream of traffic is.
enum class traffic_kind
{
    read,
    write,
    transaction
};

/// Requests of one kind that callers send all the time. In statements,
/// "{item}" is a number up to m_items, "{session}" the caller's session and
/// "{request}" the number of the request.
struct deployment_traffic
{
    std::string m_name;
    std::string m_entry; ///< name of a deployment entry
    traffic_kind m_kind = traffic_kind::read;
    std::vector<std::string> m_statements; ///< one, but for transactions
    double m_rate = 1;                     ///< requests a second, over all
    std::uint32_t m_sessions = 1;          ///< callers at a time
    std::uint32_t m_items = 1000;
    bool m_idempotent = false;
    std::uint32_t m_move_percent = 0; ///< requests that change the instance

    friend auto operator<=>(deployment_traffic const&,
                            deployment_traffic const&) = default;
};

/// A whole deployment with its traffic: what the demonstration runs.
struct deployment
{
    std::string m_name;
    std::string m_region;
    std::vector<std::string> m_data_centres;
    std::chrono::microseconds m_latency_between{500}; ///< one way
    std::chrono::microseconds m_latency_to_clients{1000};
    std::optional<std::uint32_t> m_homes_per_group = 2; ///< nothing: all
    std::vector<deployment_instance> m_instances;
    std::vector<deployment_group> m_groups;
    std::vector<deployment_owner> m_owners;
    std::vector<deployment_entry> m_entries;
    std::vector<deployment_traffic> m_traffic;

    friend auto operator<=>(deployment const&, deployment const&) = default;
};

} // namespace camphortide::transport
