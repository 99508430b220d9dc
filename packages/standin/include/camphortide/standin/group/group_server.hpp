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

/// A database group with asynchronous replication, each member behind its own
/// gRPC server on loopback. Faults are switched by method calls.
class group_server
{
public:
    /// Starts the members' servers.
    explicit group_server(group_options options);
    ~group_server();
    group_server(group_server const&) = delete;
    group_server& operator=(group_server const&) = delete;

    /// @return the address of a member, HOST:PORT
    std::string address(std::string const& member) const;

    /// Stops a member: its connections break, its log stays.
    void kill(std::string const& member);

    /// Starts a member that was killed.
    void restart(std::string const& member);

    /// Freezes a member: it keeps its connections and is_reachable nothing.
    void pause(std::string const& member, bool paused);

    /// Cuts a member off from the other members.
    void cut_from_members(std::string const& member, bool cut);

    /// Cuts a member off from the instances.
    void cut_from_instances(std::string const& member, bool cut);

    /// Marks a member as leaving.
    void set_leaving(std::string const& member, bool leaving);

    /// Sets how far a replica is behind.
    void set_lag(std::string const& member, std::chrono::microseconds receive,
                 std::chrono::microseconds apply);

    /// Sets the time that a member takes for a statement.
    void set_statement_time(std::string const& member,
                            std::chrono::microseconds time);

    /// @return the member that leads the highest term; empty if none
    std::string primary() const;

    /// @return a copy of a member's log
    std::vector<record> log(std::string const& member) const;

    /// @return a copy of a member's table
    table rows(std::string const& member) const;

    /// @return what a member counted of its connections
    connection_counts connections(std::string const& member) const;

    /// @return statements that a member was sent on new work since the start
    std::uint64_t statements(std::string const& member) const;

    /// @return probes that a member was sent on observation streams since the
    ///     start; those that came with statements aren't counted
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
