#include "instance_schema.hpp"

#include <array>
#include <filesystem>

namespace camphortide::transport
{

namespace
{

using settings = instance_settings;
using namespace std::chrono_literals;

constexpr std::size_t token_key_bytes = 32;
constexpr std::size_t max_token_keys = 8;
constexpr std::size_t max_seed_peers = 16;
constexpr std::uint64_t kibibyte = 1024;

void add_names(schema<settings>& table)
{
    table
        .required("name", &settings::m_name, name_kind(),
                  "Name of this instance; unique in the system.")
        .required("data_centre", &settings::m_data_centre, name_kind(),
                  "Data centre that this instance runs in.")
        .optional("region", &settings::m_region, text_kind(),
                  "Region, for reports.");
}

void add_addresses(schema<settings>& table)
{
    table
        .optional("listen.callers", &settings::m_listen_callers, address_kind(),
                  "Address of the gRPC service for callers.")
        .optional("listen.peers", &settings::m_listen_peers, address_kind(),
                  "Address of the ZeroMQ socket for other instances.")
        .optional("listen.admin", &settings::m_listen_admin, address_kind(),
                  "Address of the gRPC service for operators.")
        .optional("listen.metrics", &settings::m_listen_metrics, address_kind(),
                  "Address of the metrics page; left out, none is served.")
        .optional("listen.beyond_loopback", &settings::m_listen_beyond_loopback,
                  boolean_kind(),
                  "Allows other addresses than loopback without keys.")
        .optional("advertise.peers", &settings::m_advertised_peers,
                  address_kind(),
                  "Address that other instances use; left out, listen.peers.");
}

void add_platform(schema<settings>& table)
{
    table
        .required("platform.address", &settings::m_platform_address,
                  address_kind(), "Address of the platform's object API.")
        .optional("platform.timeout", &settings::m_platform_timeout,
                  time_kind({10ms, 60s}), "Longest wait for its answer.")
        .optional("platform.catalogue_watchers",
                  &settings::m_catalogue_watchers, count_kind({1, 16}),
                  "Instances of a data centre that watch the catalogue.");
}

void add_peers(schema<settings>& table)
{
    table
        .optional("peers.seeds", &settings::m_seed_peers,
                  list_kind(address_kind(), {0, max_seed_peers}),
                  "Peer addresses to ask first.")
        .optional("peers.heartbeat_interval", &settings::m_heartbeat_interval,
                  time_kind({10ms, 10s}), "Time between heartbeats.")
        .optional("peers.heartbeat_fanout", &settings::m_heartbeat_fanout,
                  count_kind({1, 32}), "Peers that each heartbeat goes to.")
        .optional("peers.timeout", &settings::m_peer_timeout,
                  time_kind({50ms, 5min}),
                  "Silence after which a peer is suspected.");
}

void add_groups(schema<settings>& table)
{
    table
        .optional("groups.homes", &settings::m_homes_per_group,
                  count_or_all_kind({1, 64}),
                  "Instances that are home for each group.")
        .optional("groups.probe_interval", &settings::m_probe_interval,
                  time_kind({1ms, 10s}), "Time between probes of a member.")
        .optional("groups.suspicion_timeout", &settings::m_suspicion_timeout,
                  time_kind({10ms, 60s}),
                  "Silence after which a member is suspected.");
}

void add_keys(schema<settings>& table)
{
    table
        .required(
            "session.token_keys", &settings::m_token_keys,
            list_kind(hexadecimal_kind(token_key_bytes), {1, max_token_keys}),
            "Keys of the session tokens: the first signs, all verify.")
        .optional("tls.certificate", &settings::m_tls_certificate, path_kind(),
                  "Certificate chain of the gRPC services, PEM.")
        .optional("tls.key", &settings::m_tls_key, path_kind(),
                  "Private key of the certificate, PEM.")
        .optional(
            "tls.authority", &settings::m_tls_authority, path_kind(),
            "Authority of the platform's certificate, PEM; none: no TLS to it.")
        .optional("tls.members_authority", &settings::m_tls_members_authority,
                  path_kind(),
                  "Authority of the members' certificates, PEM; none: no TLS "
                  "to them.")
        .optional("curve.public_key", &settings::m_curve_public_key,
                  curve_key_kind(),
                  "CURVE key of the system's peers; one pair for all.")
        .optional("curve.secret_key", &settings::m_curve_secret_key,
                  curve_key_kind(), "Secret half of the pair.");
}

void add_limits(schema<settings>& table)
{
    table
        .optional("limits.message", &settings::m_max_message_bytes,
                  size_kind({kibibyte, 64 * kibibyte * kibibyte}),
                  "Largest message that is taken.")
        .optional("limits.caller_connections",
                  &settings::m_max_caller_connections, count_kind({1, 1000000}),
                  "Most connections of callers at a time.")
        .optional("drain.time", &settings::m_drain_time, time_kind({0ms, 1h}),
                  "Longest wait for requests in flight after SIGTERM.")
        .optional("log.directory", &settings::m_log_directory, path_kind(),
                  "Folder of the log files; left out, the standard error.")
        .optional("log.level", &settings::m_log_level,
                  choice_kind<log_level>({{"info", log_level::info},
                                          {"warning", log_level::warning},
                                          {"error", log_level::error}}),
                  "Least severe message that is logged.");
}

schema<settings> make_schema()
{
    schema<settings> table;
    add_names(table);
    add_addresses(table);
    add_platform(table);
    add_peers(table);
    add_groups(table);
    add_keys(table);
    add_limits(table);
    return table;
}

bool is_loopback(std::string const& address)
{
    return address.empty() || address.rfind("127.", 0) == 0 ||
           address.rfind("[::1]", 0) == 0;
}

/// Two settings that must be given together or not at all.
struct setting_pair
{
    std::string_view m_key;
    std::string settings::*m_member;
    std::string_view m_other_key;
    std::string settings::*m_other;
};

void check_pairs(settings const& value, error_reporter const& reporter)
{
    static constexpr std::array<setting_pair, 2> pairs{
        {{"tls.certificate", &settings::m_tls_certificate, "tls.key",
          &settings::m_tls_key},
         {"curve.public_key", &settings::m_curve_public_key, "curve.secret_key",
          &settings::m_curve_secret_key}}};
    for (auto const& pair : pairs)
    {
        bool const first = !(value.*pair.m_member).empty();
        bool const second = !(value.*pair.m_other).empty();
        if (first != second)
        {
            reporter.at(first ? pair.m_other_key : pair.m_key)
                .report(setting_error_kind::conflict,
                        joined({"a value, since ",
                                first ? pair.m_key : pair.m_other_key,
                                " is given"}));
        }
    }
}

/// A listening address and the setting that allows it to be non-loopback.
struct listening_address
{
    std::string_view m_key;
    std::string settings::*m_address;
    std::string_view m_secret_key;
    std::string settings::*m_secret;
};

void check_loopback(settings const& value, error_reporter const& reporter)
{
    static constexpr std::array<listening_address, 3> addresses{
        {{"listen.callers", &settings::m_listen_callers, "tls.certificate",
          &settings::m_tls_certificate},
         {"listen.admin", &settings::m_listen_admin, "tls.certificate",
          &settings::m_tls_certificate},
         {"listen.peers", &settings::m_listen_peers, "curve.secret_key",
          &settings::m_curve_secret_key}}};
    if (value.m_listen_beyond_loopback)
    {
        return;
    }
    for (auto const& each : addresses)
    {
        if (!is_loopback(value.*each.m_address) &&
            (value.*each.m_secret).empty())
        {
            reporter.at(each.m_key)
                .report(setting_error_kind::conflict,
                        joined({"a loopback address, or ", each.m_secret_key,
                                ", or listen.beyond_loopback"}),
                        in_quotes(value.*each.m_address));
        }
    }
    if (!is_loopback(value.m_listen_metrics))
    {
        reporter.at("listen.metrics")
            .report(setting_error_kind::conflict,
                    "a loopback address, or listen.beyond_loopback",
                    in_quotes(value.m_listen_metrics));
    }
}

void check_files(settings const& value, error_reporter const& reporter)
{
    struct file_setting
    {
        std::string_view m_key;
        std::string settings::*m_path;
    };
    static constexpr std::array<file_setting, 4> files{
        {{"tls.certificate", &settings::m_tls_certificate},
         {"tls.key", &settings::m_tls_key},
         {"tls.authority", &settings::m_tls_authority},
         {"tls.members_authority", &settings::m_tls_members_authority}}};
    for (auto const& each : files)
    {
        auto const& path = value.*each.m_path;
        std::error_code error;
        if (!path.empty() && !std::filesystem::is_regular_file(path, error))
        {
            reporter.at(each.m_key)
                .report(setting_error_kind::unreadable_file,
                        "the path of a file", in_quotes(path));
        }
    }
}

bool same_fixed_address(std::string const& left, std::string const& right)
{
    bool const any_port =
        left.size() > 2 && left.rfind(":0") == left.size() - 2;
    return !left.empty() && left == right && !any_port;
}

void check_ports(settings const& value, error_reporter const& reporter)
{
    struct listen_setting
    {
        std::string_view m_key;
        std::string settings::*m_address;
    };
    static constexpr std::array<listen_setting, 4> all{
        {{"listen.callers", &settings::m_listen_callers},
         {"listen.peers", &settings::m_listen_peers},
         {"listen.admin", &settings::m_listen_admin},
         {"listen.metrics", &settings::m_listen_metrics}}};
    for (std::size_t i = 0; i < all.size(); ++i)
    {
        for (std::size_t j = 0; j < i; ++j)
        {
            if (same_fixed_address(value.*all[i].m_address,
                                   value.*all[j].m_address))
            {
                reporter.at(all[i].m_key)
                    .report(setting_error_kind::conflict,
                            joined({"another address than ", all[j].m_key}),
                            in_quotes(value.*all[i].m_address));
            }
        }
    }
}

} // namespace

schema<instance_settings> const& instance_schema()
{
    static schema<settings> const table = make_schema();
    return table;
}

void check_instance_settings(instance_settings const& value,
                             error_reporter const& reporter)
{
    check_pairs(value, reporter);
    check_loopback(value, reporter);
    check_files(value, reporter);
    check_ports(value, reporter);
    if (value.m_suspicion_timeout <= value.m_probe_interval)
    {
        reporter.at("groups.suspicion_timeout")
            .report(setting_error_kind::conflict,
                    "more than groups.probe_interval");
    }
    if (value.m_peer_timeout < 2 * value.m_heartbeat_interval)
    {
        reporter.at("peers.timeout")
            .report(setting_error_kind::conflict,
                    "at least twice peers.heartbeat_interval");
    }
}

} // namespace camphortide::transport
