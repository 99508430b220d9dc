#pragma once

#include <atomic>
#include <memory>
#include <mutex>
#include <string>

#include <absl/status/statusor.h>
#include <grpcpp/grpcpp.h>

#include <camphortide/protocol/token_codec.hpp>
#include <camphortide/transport/access/access_service.hpp>
#include <camphortide/transport/admin/admin_service.hpp>
#include <camphortide/transport/instance/fleet_control.hpp>
#include <camphortide/transport/instance/instance_router.hpp>
#include <camphortide/transport/metrics/metrics_registry.hpp>
#include <camphortide/transport/settings/instance_settings.hpp>

namespace camphortide::transport
{

/// One running instance: accepts callers' requests, and is a home of groups.
class instance
{
public:
    /// Starts an instance. The platform need not be reachable.
    /// @param settings validated settings
    /// @param policy of the gateways; only measurements deviate from the
    ///     default
    /// @return UNAVAILABLE if an address is in use, INVALID_ARGUMENT for keys
    ///     or files that cannot be used
    static absl::StatusOr<std::unique_ptr<instance>>
    start(instance_settings const& settings, gateway_policy const& policy = {});

    /// Stops without a drain; requests in flight are interrupted.
    ~instance();
    instance(instance const&) = delete;
    instance& operator=(instance const&) = delete;

    /// Announces that the instance leaves, completes the requests in flight and
    /// refuses new ones. Blocks until nothing is in flight or the drain time is
    /// over; within that time it also waits until the shares are returned.
    /// @return true if nothing was interrupted
    bool drain();

    /// @return true once a planned stop requires this instance to drain
    bool drain_requested() const { return m_drain_requested; }

    /// @return true once a catalogue is in force
    bool ready() const { return served() != nullptr; }

    /// @return true if this is a home of the group and its primary is known
    bool knows_primary(std::string const& group) const;

    /// @return the homes of a group in this instance's view
    std::vector<std::string> homes_of(std::string const& group) const
    {
        return m_homes.homes_of(group);
    }

    /// Builds the status report for operators.
    /// @param done called on the control thread
    void status(admin_service::status_handler done);

    std::string const& caller_address() const { return m_caller_address; }
    std::string const& admin_address() const { return m_admin_address; }
    std::string const& peer_address() const { return m_exchange->address(); }
    metrics_registry const& metrics() const { return m_metrics; }

    /// @return the catalogue in force, or null
    std::shared_ptr<state::catalogue const> catalogue() const;

private:
    instance(instance_settings settings, gateway_policy const& policy);

    absl::Status open_exchange();
    void make_services();
    void start_control();
    absl::Status open_servers();
    bool shares_returned();
    void on_forward(peer_route const& from, peer::v1::Envelope const& envelope);
    void set_catalogue(std::shared_ptr<state::catalogue const> value);
    void record(checked_request const& request, group_reply const& reply,
                std::chrono::microseconds latency);
    std::shared_ptr<served_catalogue const> served() const;
    admin::v1::StatusReply make_status();
    void tick();

    instance_settings m_settings;
    gateway_policy const m_policy;
    std::uint64_t const m_incarnation;
    protocol::token_codec const m_codec;
    request_check m_check;
    metrics_registry m_metrics;
    home_registry m_homes;
    mutable std::mutex m_catalogue_mutex;
    std::shared_ptr<served_catalogue const> m_served;
    std::atomic<bool> m_drain_requested{false};
    std::atomic<bool> m_forwarding_ready{false}; ///< the router exists
    std::unique_ptr<fleet_control> m_fleet;      ///< used on the control thread
    std::shared_ptr<control_loop> m_loop;
    std::unique_ptr<platform_client> m_platform;
    std::unique_ptr<peer_exchange> m_exchange;
    std::unique_ptr<forward_client> m_forward_client;
    std::unique_ptr<instance_router> m_router;
    std::unique_ptr<access_service> m_access;
    std::unique_ptr<admin_service> m_admin;
    std::unique_ptr<grpc::Server> m_caller_server;
    std::unique_ptr<grpc::Server> m_admin_server;
    std::string m_caller_address;
    std::string m_admin_address;
    state::time_point const m_start_time;
};

} // namespace camphortide::transport
