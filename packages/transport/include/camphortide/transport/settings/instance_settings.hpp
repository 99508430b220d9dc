#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <camphortide/state/clock.hpp>

namespace camphortide::transport
{

/// The least severe message that is logged.
enum class log_level
{
    info,
    warning,
    error
};

/// The configuration of an instance, from its settings file and its command
/// line. The member initializers are the defaults of the settings.
struct instance_settings
{
    std::string m_name;
    std::string m_data_centre;
    std::string m_region;

    std::string m_listen_callers = "127.0.0.1:7400";
    std::string m_listen_peers = "127.0.0.1:7401";
    std::string m_listen_admin = "127.0.0.1:7402";
    std::string m_listen_metrics;   ///< empty: the metrics page is not served
    std::string m_advertised_peers; ///< empty: m_listen_peers
    bool m_listen_beyond_loopback = false;

    std::string m_platform_address;
    state::duration m_platform_timeout{std::chrono::milliseconds(500)};

    std::vector<std::string> m_seed_peers;
    state::duration m_heartbeat_interval{std::chrono::milliseconds(1000)};
    std::uint32_t m_heartbeat_fanout = 3;
    state::duration m_peer_timeout{std::chrono::milliseconds(2500)};

    /// Number of homes of each group; nullopt: every instance is a home.
    std::optional<std::uint32_t> m_homes_per_group = 2;
    state::duration m_probe_interval{std::chrono::milliseconds(400)};
    state::duration m_suspicion_timeout{std::chrono::milliseconds(500)};

    /// Hexadecimal keys of 32 bytes. The first one signs, all of them verify.
    std::vector<std::string> m_token_keys;
    std::string m_tls_certificate;
    std::string m_tls_key;
    std::string m_tls_authority; ///< CA of the platform; empty: no TLS to it
    std::string m_tls_members_authority; ///< CA of members; empty: no TLS
    std::string m_curve_public_key; ///< Z85; one key pair for the whole system
    std::string m_curve_secret_key; ///< Z85

    std::uint64_t m_max_message_bytes = std::uint64_t{1} << 20;
    std::uint32_t m_max_caller_connections = 8192;
    std::uint32_t m_catalogue_watchers = 2; ///< per data centre
    state::duration m_drain_time{std::chrono::seconds(10)};
    std::string m_log_directory; ///< empty: log to stderr
    log_level m_log_level = log_level::info;

    /// @return the address at which other instances reach this one
    std::string const& peer_address() const
    {
        return m_advertised_peers.empty() ? m_listen_peers : m_advertised_peers;
    }

    friend auto operator<=>(instance_settings const&,
                            instance_settings const&) = default;
};

} // namespace camphortide::transport
