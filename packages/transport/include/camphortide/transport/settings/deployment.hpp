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

/// A database group of a deployment and the timing with which the stand-in
/// simulates it.
struct deployment_group
{
    std::string m_name;
    std::vector<deployment_member> m_members;
    std::uint32_t m_slots = 2; ///< statements that a member runs concurrently
    std::uint32_t m_connections = 16; ///< connection limit of each member
    std::chrono::microseconds m_open_time{12000};
    std::chrono::microseconds m_statement_time{1000};
    std::chrono::microseconds m_receive_lag{1000};
    std::chrono::microseconds m_apply_lag{5000};

    friend auto operator<=>(deployment_group const&,
                            deployment_group const&) = default;
};

/// A customer, to whom catalogue entries belong.
struct deployment_customer
{
    std::string m_name;
    std::string m_credential; ///< plain text; for demonstrations only

    friend auto operator<=>(deployment_customer const&,
                            deployment_customer const&) = default;
};

/// A traffic class. It becomes one catalogue entry per group.
struct deployment_entry
{
    std::string m_name;
    std::string m_customer;
    std::string m_class_name;
    std::vector<std::string> m_groups;
    state::entry_limits m_limits;

    friend auto operator<=>(deployment_entry const&,
                            deployment_entry const&) = default;
};

/// The type of the requests of a traffic stream.
enum class traffic_kind
{
    read,
    write,
    transaction
};

/// A stream of requests of one kind that callers send continuously.
/// Placeholders in statements: "{item}" is a number up to m_items, "{session}"
/// is the caller's session and "{request}" is the sequence number of the
/// request.
struct deployment_traffic
{
    std::string m_name;
    std::string m_entry; ///< name of a deployment entry
    traffic_kind m_kind = traffic_kind::read;
    std::vector<std::string> m_statements; ///< several only in a transaction
    double m_rate = 1;                     ///< requests/s over all sessions
    std::uint32_t m_sessions = 1;          ///< concurrent callers
    std::uint32_t m_items = 1000;
    bool m_idempotent = false;
    std::uint32_t m_move_percent = 0; ///< requests that switch instances

    friend auto operator<=>(deployment_traffic const&,
                            deployment_traffic const&) = default;
};

/// A complete deployment with its traffic, as the demonstration runs it.
struct deployment
{
    std::string m_name;
    std::string m_region;
    std::vector<std::string> m_data_centres;
    std::chrono::microseconds m_latency_between{500}; ///< one way
    std::chrono::microseconds m_latency_to_clients{1000};
    std::optional<std::uint32_t> m_homes_per_group = 2; ///< nullopt: all
    std::vector<deployment_instance> m_instances;
    std::vector<deployment_group> m_groups;
    std::vector<deployment_customer> m_customers;
    std::vector<deployment_entry> m_entries;
    std::vector<deployment_traffic> m_traffic;

    friend auto operator<=>(deployment const&, deployment const&) = default;
};

} // namespace camphortide::transport
