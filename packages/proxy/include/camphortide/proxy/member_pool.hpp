#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

#include <boost/asio/io_context.hpp>

#include <camphortide/coordination/limits/event_rate.hpp>
#include <camphortide/coordination/limits/moving_mean.hpp>
#include <camphortide/coordination/placing/connection_assignment.hpp>
#include <camphortide/coordination/placing/customer_activity.hpp>
#include <camphortide/coordination/placing/member_choice.hpp>
#include <camphortide/coordination/placing/replica_lag.hpp>
#include <camphortide/proxy/member_connection.hpp>

namespace camphortide::proxy
{

/// How many connections this instance may have to a member, and what the number
/// of its statements there depends on.
struct member_pool_limits
{
    std::size_t m_connections = 1;       ///< kept open while idle
    std::size_t m_extra_connections = 0; ///< opened on demand
    std::size_t m_homes = 1;             ///< instances that share the member
    /// The configuration names customers: a member without a connection for a
    /// customer is a candidate for its statements.
    bool m_by_customer = false;

    friend auto operator<=>(member_pool_limits const&,
                            member_pool_limits const&) = default;
};

/// Counts of a pool's connections since it was created.
struct member_pool_counts
{
    std::uint64_t m_opened = 0;
    /// Closed because another customer needed a connection.
    std::uint64_t m_reassigned = 0;
    /// Statements that waited for a connection to open.
    std::uint64_t m_opening_waits = 0;
    /// Closed because a reply was overdue.
    std::uint64_t m_overdue = 0;

    friend auto operator<=>(member_pool_counts const&,
                            member_pool_counts const&) = default;
};

/// Pool of this instance's connections to one member, with the member's
/// observed response time, lag and failures.
class member_pool : public std::enable_shared_from_this<member_pool>
{
public:
    using changed_handler = std::function<void()>;

    member_pool(boost::asio::io_context& context, state::member_entry member);

    /// Replaces the entry by a newer one of the same member.
    void update(state::member_entry member) { m_member = std::move(member); }
    void set_limits(member_pool_limits limits) { m_limits = limits; }

    /// Statements that wait for a connection, by customer. The rates are filled
    /// in by the pool.
    using demand = coordination::connection_assignment::waiting_customers;

    /// Opens the connections that are needed, within the limits and unless an
    /// earlier failure requires a pause. At the limit, idle connections of
    /// other customers are closed first.
    /// @param waiting statements that wait for a connection
    /// @param changed called when a connection is open or has failed
    void open_if_needed(demand waiting, changed_handler const& changed);

    /// Removes from a customer's idle connections the one that requires the
    /// fewest setup commands for a session's values.
    /// @return null if none is idle
    std::shared_ptr<member_connection>
    acquire(std::string const& customer,
            coordination::session_values const& values);

    /// Removes any idle connection, for a statement of the system itself.
    /// @return null if none is idle
    std::shared_ptr<member_connection> acquire_any();

    /// Returns a connection to the pool. It is closed if it can't be reused.
    /// @param connection an acquired one
    /// @param clean no transaction is open on it
    void release(std::shared_ptr<member_connection> const& connection,
                 bool clean);

    /// Closes all connections.
    void close_all();

    /// Closes connections above the number kept that have been idle for a
    /// while.
    void close_surplus(state::time_point now);

    /// Records that a statement ended.
    /// @param response its response time, if the member ran it
    void statement_finished(std::optional<state::duration> response);
    void statement_started() { ++m_in_flight; }
    /// Records that a statement waits for a connection to open.
    void record_opening_wait() { ++m_counts.m_opening_waits; }

    /// Records that the member refused a statement because it was busy.
    void record_busy(state::time_point now);
    /// @return the estimate of the member's lag while it is a replica
    coordination::replica_lag& lag() { return m_lag; }
    coordination::replica_lag const& lag() const { return m_lag; }

    /// @param customer whose statement is to be placed
    /// @param primary the member may be used as the primary now
    /// @param now the current time
    coordination::member_condition condition(std::string const& customer,
                                             bool primary,
                                             state::time_point now) const;

    state::member_entry const& member() const { return m_member; }
    std::size_t connections() const { return m_all.size(); }
    std::size_t connections_in_use() const { return m_acquired.size(); }
    /// @return how long the connection that was acquired first has been in use
    state::duration longest_use(state::time_point now) const;
    /// @return true if every connection that may be open is in use
    bool exhausted() const;
    std::uint32_t in_flight() const { return m_in_flight; }
    member_pool_counts const& counts() const { return m_counts; }

    /// @return since when every attempt to reach the member has failed; nothing
    ///     if the last one succeeded
    std::optional<state::time_point> failing_since() const
    {
        return m_failing_since;
    }
    /// Records that the member answered.
    void record_answer() { m_failing_since.reset(); }
    /// Records a failed attempt to reach the member.
    void record_failure(state::time_point now);

private:
    void opened(std::shared_ptr<member_connection> const& connection,
                opening_result result);
    void remove(std::shared_ptr<member_connection> const& connection);
    void ended(std::shared_ptr<member_connection> const& connection);
    std::size_t max_connections() const;
    /// @return the number of connections that were closed because a reply was
    ///     overdue, and that the member may still count
    std::size_t unnoticed_ends(state::time_point now) const;
    /// @return how many statements may be in flight to the member
    std::uint32_t max_statements(state::time_point now) const;
    std::size_t idle_connections(std::string const& customer) const;
    /// @return true if a connection for the customer is opening or may be
    ///     opened
    bool can_open(std::string const& customer, state::time_point now) const;
    /// @return the expected time of an opening in ms; at least the time that
    ///     the current ones have taken so far
    double opening_ms(state::time_point now) const;
    void assign(demand const& waiting, changed_handler const& changed,
                state::time_point now);
    void open_for(std::string const& customer, changed_handler const& changed);
    coordination::connection_use
    use_of(std::shared_ptr<member_connection> const& connection,
           state::time_point now) const;
    bool take_reclaim(std::string const& customer);

    boost::asio::io_context& m_context;
    state::member_entry m_member;
    member_pool_limits m_limits;
    std::set<std::shared_ptr<member_connection>> m_all;
    std::vector<std::shared_ptr<member_connection>> m_idle;
    /// Connections in use, with the time since when.
    std::map<std::shared_ptr<member_connection>, state::time_point> m_acquired;
    /// When the member has noticed the end of each connection that was closed
    /// because a reply was overdue.
    std::vector<state::time_point> m_overdue_ends;
    /// Customers for which a connection is opening, with the time since when.
    std::map<std::string, state::time_point> m_opening;
    coordination::customer_activity m_activity;
    /// Customers whose connections are closed when they are returned, and how
    /// many of these.
    std::set<std::string> m_reclaim;
    std::size_t m_reclaim_count = 0;
    /// Customers for which no connection could be opened, until when they
    /// aren't considered again.
    std::map<std::string, state::time_point> m_denied;
    member_pool_counts m_counts;
    std::uint32_t m_in_flight = 0;
    state::time_point m_next_opening;
    state::duration m_opening_backoff{};
    state::time_point m_busy_until;
    std::optional<state::time_point> m_failing_since;
    coordination::moving_mean m_response;
    coordination::event_rate m_answered;
    coordination::moving_mean m_opening_time; ///< in ms
    coordination::moving_mean m_use_time;     ///< of a connection, in ms
    /// The shortest of all openings; nothing before the first one.
    std::optional<state::duration> m_least_round_trip;
    coordination::replica_lag m_lag;
    state::time_point m_last_finished;
};

} // namespace camphortide::proxy
