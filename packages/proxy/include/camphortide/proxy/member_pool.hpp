#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

#include <boost/asio/io_context.hpp>

#include <camphortide/coordination/limits/moving_mean.hpp>
#include <camphortide/coordination/placing/member_choice.hpp>
#include <camphortide/coordination/placing/replica_lag.hpp>
#include <camphortide/proxy/member_connection.hpp>

namespace camphortide::proxy
{

/// How many connections and statements this instance may have at a member.
struct member_pool_limits
{
    std::size_t m_connections = 1;       ///< kept open while idle
    std::size_t m_extra_connections = 0; ///< opened on demand
    std::uint32_t m_statements = 1;      ///< in flight

    friend auto operator<=>(member_pool_limits const&,
                            member_pool_limits const&) = default;
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

    /// Number of statements that wait for a connection, by customer.
    using demand = std::map<std::string, std::size_t>;

    /// Opens a connection if one is needed, within the limits and unless an
    /// earlier failure requires a pause. At the limit an idle connection of
    /// another customer is closed first.
    /// @param waiting statements that wait for a connection
    /// @param changed called when the connection is open or has failed
    void open_if_needed(demand const& waiting, changed_handler const& changed);

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
    std::uint32_t in_flight() const { return m_in_flight; }

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
    std::size_t max_connections() const;
    std::size_t idle_connections(std::string const& customer) const;
    /// Closes the idle connection that was used least recently, of a customer
    /// without waiting statements.
    /// @return false if there is none
    bool close_least_recent(demand const& waiting);

    boost::asio::io_context& m_context;
    state::member_entry m_member;
    member_pool_limits m_limits;
    std::set<std::shared_ptr<member_connection>> m_all;
    std::vector<std::shared_ptr<member_connection>> m_idle;
    std::size_t m_opening = 0;
    std::uint32_t m_in_flight = 0;
    state::time_point m_next_opening;
    state::duration m_opening_backoff{};
    state::time_point m_busy_until;
    std::optional<state::time_point> m_failing_since;
    coordination::moving_mean m_response;
    coordination::replica_lag m_lag;
    state::time_point m_last_finished;
};

} // namespace camphortide::proxy
