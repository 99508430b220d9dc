#pragma once

#include <atomic>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

#include <camphortide/endpoint/v1/member.grpc.pb.h>
#include <camphortide/standin/group/group_options.hpp>
#include <camphortide/standin/member_model.hpp>

namespace camphortide::standin
{

class group_server;
class connection_stream;
class observe_stream;

/// Counts of a member's database connections since its construction.
struct connection_counts
{
    std::size_t m_open = 0;      ///< currently open
    std::size_t m_max_open = 0;  ///< highest number open at the same time
    std::uint64_t m_refused = 0; ///< over the connection limit

    friend auto operator<=>(connection_counts const&,
                            connection_counts const&) = default;
};

/// One member of a stand-in group: serves its member_model over gRPC. The
/// group's mutex guards all state.
class member_server final : public endpoint::v1::Member::CallbackService
{
public:
    using monotonic_time = std::chrono::steady_clock::time_point;

    member_server(group_server& group, std::string name);
    ~member_server() override;

    /// Starts the gRPC server, after a stop on the same port as before.
    void start();

    /// Stops the gRPC server and closes every stream.
    void stop();

    /// @return HOST:PORT
    std::string address() const;

    /// @return true if instances can reach the member
    bool is_reachable() const
    {
        return m_running && !m_paused && !m_cut_from_instances;
    }

    /// Sends the status to the streams that observe the member.
    void notify();

    /// @param probe number of the probe that the status answers; 0 if none
    /// @return the full status message
    endpoint::v1::MemberStatus status_message(std::uint64_t probe) const;

    grpc::ServerBidiReactor<endpoint::v1::Statement,
                            endpoint::v1::StatementReply>*
    Connect(grpc::CallbackServerContext* context) override;

    grpc::ServerBidiReactor<endpoint::v1::Probe, endpoint::v1::MemberStatus>*
    Observe(grpc::CallbackServerContext* context) override;

    grpc::ServerUnaryReactor* Fence(grpc::CallbackServerContext* context,
                                    endpoint::v1::FenceRequest const* request,
                                    endpoint::v1::FenceReply* reply) override;

    grpc::ServerUnaryReactor*
    Promote(grpc::CallbackServerContext* context,
            endpoint::v1::PromoteRequest const* request,
            endpoint::v1::ChangeReply* reply) override;

    grpc::ServerUnaryReactor* Follow(grpc::CallbackServerContext* context,
                                     endpoint::v1::FollowRequest const* request,
                                     endpoint::v1::ChangeReply* reply) override;

private:
    friend class group_server;
    friend class connection_stream;
    friend class observe_stream;

    using task = std::function<void()>;

    /// Runs a task under the group's mutex: immediately, or, if the member is
    /// paused or cut off from the instances, once that ends or the member
    /// stops.
    void when_reachable(task run);

    /// Runs a task under the group's mutex after the one-way network delay.
    void after_network_delay(task run);

    /// Runs a task under the group's mutex.
    void run_locked(task const& run);

    /// Runs a task in one of the member's slots, after the statement time. The
    /// task waits while no slot is free and is dropped if the member stops.
    void run_in_slot(task run);
    void release_slot();

    /// Replicates the new records and notifies the observers.
    void on_write();
    connection_counts connections() const;
    void count_statement() { ++m_statements; }
    void count_probe() { ++m_probes; }
    void remove_stream(std::shared_ptr<connection_stream> const& stream);
    void remove_stream(std::shared_ptr<observe_stream> const& stream);
    void run_deferred();
    void reply_unary(grpc::ServerUnaryReactor* reactor, task fill);
    void close_streams();

    group_server& m_group;
    member_model m_model;
    std::unique_ptr<grpc::Server> m_server;
    int m_port = 0;
    bool m_running = false;
    bool m_paused = false;
    bool m_cut_from_instances = false;
    bool m_cut_from_members = false;
    bool m_leaving = false;
    std::uint64_t m_generation = 0; ///< incremented at every stop
    std::uint64_t m_statements = 0;
    std::uint64_t m_probes = 0;
    connection_counts m_connection_counts; ///< without m_open
    std::chrono::microseconds m_receive_lag{0};
    std::chrono::microseconds m_apply_lag{0};
    std::chrono::microseconds m_statement_time{0};
    monotonic_time m_last_primary_contact; ///< time of its last message
    std::uint64_t m_matched_index = 0; ///< last index that matches the primary
    state::term m_matched_term;
    /// Last index scheduled to be received; not used yet.
    std::uint64_t m_scheduled_index = 0;
    std::uint32_t m_slots_used = 0;
    std::deque<task> m_slot_queue;
    std::deque<task> m_deferred;
    std::set<std::shared_ptr<connection_stream>> m_connections;
    std::set<std::shared_ptr<observe_stream>> m_observers;
};

} // namespace camphortide::standin
