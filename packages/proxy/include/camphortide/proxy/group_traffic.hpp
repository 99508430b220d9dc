#pragma once

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <camphortide/coordination/placing/dispatch_rate.hpp>
#include <camphortide/coordination/placing/primary_positions.hpp>
#include <camphortide/coordination/placing/refusal_choice.hpp>
#include <camphortide/coordination/placing/statement_queue.hpp>
#include <camphortide/proxy/fleet_view.hpp>
#include <camphortide/proxy/member_pool.hpp>
#include <camphortide/proxy/statement_request.hpp>
#include <camphortide/proxy/traffic_observer.hpp>

namespace camphortide::proxy
{

/// Queues the statements of one group and runs them at its members. Not thread
/// safe: used on the traffic thread only.
class group_traffic
{
public:
    using request_pointer = std::shared_ptr<statement_request>;

    group_traffic(boost::asio::io_context& context, std::string group,
                  traffic_observer& observer);
    ~group_traffic();

    /// Updates members, limits, homes and the permit from the control thread's
    /// view.
    void apply(fleet_view const& view);

    /// Removes and returns the waiting statements if this instance is neither a
    /// home of the group any more nor stands in for one.
    std::vector<request_pointer> take_misplaced();

    /// Queues a statement; one of an open transaction runs at once on the
    /// transaction's connection.
    void submit(request_pointer const& request);

    /// Rolls back a transaction that its caller abandoned.
    void roll_back(bound_connection const& bound);

    /// Stops using the primary under records up to a revision.
    /// @param revision of the last record that is affected
    /// @param orderly statements and transactions in progress may finish first,
    ///     within a time limit
    /// @param closed called when nothing uses the primary any more; may be null
    void close_primary(state::store_revision const& revision, bool orderly,
                       std::function<void()> closed);

    /// Periodic maintenance of connections, probes and reports.
    void sweep();

    /// @return counts of the reads so far, by where they were sent and why
    read_counts const& reads() const { return m_reads; }

    /// @return the gauges of this group's members
    std::vector<member_gauge> gauges() const;

private:
    /// Weight of a statement in the mean of all: about twenty count.
    static constexpr double mean_work_weight = 0.05;

    struct pending_close
    {
        state::store_revision m_revision;
        std::string m_primary; ///< the primary that must not be used
        state::time_point m_deadline;
        std::function<void()> m_on_closed;
    };

    void apply_members(fleet_view const& view);
    /// @return the limits of this instance at each member of the group
    member_pool_limits connection_limits() const;
    bool is_primary(std::string const& member) const;
    coordination::placement_requirements
    requirements_for(statement_request const& request) const;
    std::vector<coordination::member_condition>
    conditions(std::string const& customer, state::time_point now) const;
    /// Refuses waiting statements that have to give way to a new one.
    /// @return false if the new one is to be refused
    bool admit(request_pointer const& request, state::time_point now);
    coordination::competing_statement
    as_competing(statement_request const& request) const;
    void record_work(statement_request const& request);
    void enqueue(request_pointer const& request, bool primary);
    /// @return false if the statement isn't waiting any more: a refused caller
    ///     may send its next statement at once, for which others give way
    bool dequeue(request_pointer const& request);
    void set_waits_for_primary(statement_request& request, bool primary);
    /// @return the expected time that the primary, or a replica, takes to
    ///     answer, with a margin
    state::duration service_time(bool primary, state::time_point now) const;
    bool needs_primary(statement_request const& request,
                       state::time_point now) const;
    void dispatch();
    /// Sends the waiting statements that a member can accept now.
    /// @return for each pool, the statements that wait for one of its
    ///     connections
    std::vector<member_pool::demand> send_waiting(state::time_point now);
    /// Adds the statements of a customer that already wait for a connection to
    /// the conditions of the members at which it has to be opened.
    static void
    add_waiting(std::vector<coordination::member_condition>& members,
                std::vector<member_pool::demand> const& demand,
                std::string const& customer);
    static void add_demand(member_pool::demand& demand,
                           statement_request const& request,
                           coordination::waiting_statement const& item);
    void note_opening_wait(statement_request& request, std::size_t index);
    /// @return index of the member that would be chosen if all had free
    ///     connections; nothing if none can run the statement
    static std::optional<std::size_t>
    best_member(coordination::placement_requirements const& requirements,
                std::vector<coordination::member_condition> members,
                state::time_point now);
    void open_connections(std::vector<member_pool::demand> const& demand);
    void refuse_expired(state::time_point now);
    /// Refuses the waiting statements whose answers would come after their
    /// deadlines: their callers can return while there is time.
    void refuse_hopeless(state::time_point now);
    void set_timer();
    void send_to(request_pointer const& request, std::size_t index);
    void run(request_pointer const& request, bound_connection const& bound);
    /// Sends a statement again on the connection of its transaction.
    void run_again(request_pointer const& request,
                   bound_connection const& bound);
    void note_sending(request_pointer const& request,
                      bound_connection const& bound);
    static std::vector<std::string> preamble(statement_request const& request,
                                             bound_connection const& bound);
    /// @return the position that a replica must have applied to run a read;
    ///     nothing if the statement carries none
    static std::optional<state::log_position>
    required_position(statement_request const& request,
                      bound_connection const& bound);
    void send_preamble(request_pointer const& request,
                       bound_connection const& bound);
    void handle_preamble_failure(request_pointer const& request,
                                 bound_connection const& bound,
                                 std::optional<state::statement_reply> reply);
    void send_statement(request_pointer const& request,
                        bound_connection const& bound);
    void handle_reply(request_pointer const& request,
                      bound_connection const& bound,
                      std::optional<state::statement_reply> reply);
    void record_position(statement_request const& request,
                         bound_connection const& bound,
                         state::statement_reply const& reply);
    void record_statement_failure(statement_request& request,
                                  bound_connection const& bound,
                                  state::statement_failure const& failure);
    void apply_decision(request_pointer const& request,
                        bound_connection const& bound,
                        coordination::reply_decision const& decision,
                        std::optional<state::statement_reply> reply);
    void deliver(request_pointer const& request, bound_connection const& bound,
                 state::statement_reply reply);
    void send_again(request_pointer const& request);
    void fail(request_pointer const& request, state::statement_failure failure);
    void refuse(request_pointer const& request, std::string_view reason);
    void release(bound_connection const& bound, bool clean);
    std::shared_ptr<member_pool> find_pool(std::string const& member) const;
    void probe_if_stale(member_pool& pool, state::time_point now);
    void record_replica_position(member_pool& pool,
                                 state::log_position position);
    void report_reachability(member_pool const& pool, state::time_point now);
    void report_exhaustion(member_pool const& pool, state::time_point now);
    member_gauge gauge_of(member_pool const& pool, state::time_point now) const;
    void count_read(statement_request const& request,
                    coordination::placement_requirements const& requirements,
                    std::vector<coordination::member_condition> const& members,
                    bool primary, state::time_point now);
    void finish_pending_closes();
    bool primary_in_use(state::store_revision const& revision) const;

    boost::asio::io_context& m_context;
    std::string m_group;
    std::string m_data_centre; ///< of this instance
    traffic_observer& m_observer;
    boost::asio::steady_timer m_timer;
    std::optional<state::time_point> m_timer_at;
    std::vector<std::shared_ptr<member_pool>> m_pools;
    /// Pools of members that were removed, until their statements have ended.
    std::vector<std::shared_ptr<member_pool>> m_removed_pools;
    coordination::primary_permit m_permit;
    coordination::primary_positions m_positions;
    coordination::statement_queue m_queue;
    /// Of the statements sent to replicas [0] and to the primary [1].
    std::array<coordination::dispatch_rate, 2> m_dispatch_rates;
    /// Response times of members without other statements, in ms, by route.
    std::map<std::string, coordination::moving_mean> m_work;
    /// Of the statements sent to replicas [0] and to the primary [1].
    std::array<coordination::moving_mean, 2> m_mean_work{
        coordination::moving_mean(mean_work_weight),
        coordination::moving_mean(mean_work_weight)};
    std::unordered_map<std::uint64_t, request_pointer> m_waiting;
    /// Of these, those that wait for replicas [0] and for the primary [1].
    std::array<std::size_t, 2> m_waiting_counts{};
    /// Number of transactions and statements that use the primary, by the
    /// revision of its record.
    std::map<state::store_revision, std::size_t> m_primary_uses;
    std::vector<pending_close> m_pending_closes;
    read_counts m_reads;
    std::set<std::string> m_unreachable; ///< members reported as such
    std::set<std::string> m_exhausted;   ///< the same
    std::uint32_t m_max_connections = 1; ///< to a member, by all instances
    std::size_t m_home_count = 1;        ///< instances that share those
    bool m_is_home = true;               ///< this instance is one of them
    /// This instance stands in for homes that can't be reached.
    bool m_is_stand_in = false;
    bool m_by_customer = false; ///< the configuration names customers
    bool m_dispatching = false;
    bool m_dispatch_again = false;
    /// Set to false on destruction; checked by handlers that may run later.
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace camphortide::proxy
