#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include <camphortide/standin/group/group_options.hpp>
#include <camphortide/standin/group/member_server.hpp>
#include <camphortide/standin/group/timer_queue.hpp>

namespace camphortide::standin
{

/// Simulates a database group with asynchronous replication. Each member has
/// its own gRPC server on loopback. Faults are injected by method calls.
class group_server
{
public:
    /// Starts the members' servers.
    explicit group_server(group_options options);
    ~group_server();
    group_server(group_server const&) = delete;
    group_server& operator=(group_server const&) = delete;

    /// @return a member's HOST:PORT
    std::string address(std::string const& member) const;

    /// Stops a member: closes its connections and keeps its log.
    void kill(std::string const& member);

    /// Starts a member that kill() stopped.
    void restart(std::string const& member);

    /// Pauses or resumes a member. While paused it keeps its connections and
    /// is unresponsive.
    void pause(std::string const& member, bool paused);

    /// Simulates a network partition between a member and the other members,
    /// or ends it.
    void cut_from_members(std::string const& member, bool cut);

    /// Simulates a network partition between a member and the instances, or
    /// ends it.
    void cut_from_instances(std::string const& member, bool cut);

    /// Sets whether a member reports that it is leaving.
    void set_leaving(std::string const& member, bool leaving);

    /// Sets a replica's replication lag.
    /// @param receive from a record's commit to its receipt
    /// @param apply from a record's receipt to its effect on reads
    void set_lag(std::string const& member, std::chrono::microseconds receive,
                 std::chrono::microseconds apply);

    /// Sets how long a statement occupies a slot of a member.
    void set_statement_time(std::string const& member,
                            std::chrono::microseconds time);

    /// @return the primary of the highest term; empty if there is none
    std::string primary() const;

    /// @return a copy of a member's log
    std::vector<record> log(std::string const& member) const;

    /// @return a copy of a member's table
    table rows(std::string const& member) const;

    /// @return the counts of a member's connections
    connection_counts connections(std::string const& member) const;

    /// @return the number of reads, writes and begins of transactions that a
    ///     member received since its construction
    std::uint64_t statements(std::string const& member) const;

    /// @return the number of probes that a member received on observation
    ///     streams since its construction, without those in statements
    std::uint64_t probes(std::string const& member) const;

private:
    friend class member_server;

    member_server& find(std::string const& member) const;
    void replicate_from(member_server& source);
    void deliver(member_server& source, member_server& target,
                 std::uint64_t last_index);
    void schedule_apply(member_server& target, std::uint64_t index);
    void schedule_heartbeat();

    group_options const m_options;
    mutable std::recursive_mutex m_mutex;
    timer_queue m_timers;
    std::vector<std::unique_ptr<member_server>> m_members;
};

} // namespace camphortide::standin
