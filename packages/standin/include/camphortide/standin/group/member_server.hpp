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

/// The connections of a member since its start.
struct connection_counts
{
    std::size_t m_open = 0;      ///< now
    std::size_t m_max_open = 0;  ///< at a time
    std::uint64_t m_refused = 0; ///< for want of a free one

    friend auto operator<=>(connection_counts const&,
                            connection_counts const&) = default;
};

/// One member of a stand-in group: its model behind a gRPC server. All state
/// is guarded by the group's mutex.
class member_server final : public endpoint::v1::Member::CallbackService
{
public:
    using monotonic_time = std::chrono::steady_clock::time_point;

    member_server(group_server& group, std::string name);
    ~member_server() override;

    /// Opens the gRPC server, on the same port as before if there was one.
    void start();

    /// Closes the gRPC server and every stream.
    void stop();

    /// @return HOST:PORT
    std::string address() const;

    /// @return true if instances can talk to the member
    bool is_reachable() const
    {
        return m_running && !m_paused && !m_cut_from_instances;
    }

    /// Tells the streams that observe the member of a change.
    void notify();

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

    /// Runs a task under the group's mutex: at once, or when the member is
    /// no longer paused or cut off. Drops it if the member is down.
    void when_reachable(task run);

    /// Runs a task under the group's mutex after the one-way network delay.
    void after_network_delay(task run);

    /// Runs a task under the group's mutex.
    void run_locked(task const& run);

    /// Runs a task in one of the member's slots, for the statement time.
    void run_in_slot(task run);
    void release_slot();

    /// Replicates what the member wrote and tells its observers.
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
    bool m_cut_from_instances = false; ///< from instances
    bool m_cut_from_members = false;   ///< from the other members
    bool m_leaving = false;
    std::uint64_t m_generation = 0; ///< rises with every stop
    std::uint64_t m_statements = 0;
    std::uint64_t m_probes = 0;
    connection_counts m_connection_counts; ///< but for m_open
    std::chrono::microseconds m_receive_lag{0};
    std::chrono::microseconds m_apply_lag{0};
    std::chrono::microseconds m_statement_time{0};
    monotonic_time m_last_primary_contact; ///< last message of its primary
    std::uint64_t m_matched_index = 0; ///< last index agreed with the primary
    state::term m_matched_term;
    std::uint64_t m_scheduled_index =
        0; ///< last index scheduled to be received
    std::uint32_t m_slots_used = 0;
    std::deque<task> m_slot_queue;
    std::deque<task> m_deferred;
    std::set<std::shared_ptr<connection_stream>> m_connections;
    std::set<std::shared_ptr<observe_stream>> m_observers;
};

} // namespace camphortide::standin
