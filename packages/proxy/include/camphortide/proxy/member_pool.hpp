#pragma once

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <set>
#include <vector>

#include <boost/asio/io_context.hpp>

#include <camphortide/coordination/limits/moving_mean.hpp>
#include <camphortide/coordination/placing/member_choice.hpp>
#include <camphortide/proxy/member_connection.hpp>

namespace camphortide::proxy
{

/// How many connections and statements an instance may have at a member.
struct member_pool_limits
{
    std::size_t m_connections = 1; ///< this instance's part of the member's
    std::size_t m_extra_connections = 0; ///< more, while callers wait for them
    std::uint32_t m_statements = 1;

    friend auto operator<=>(member_pool_limits const&,
                            member_pool_limits const&) = default;
};

/// The connections of this instance to one member, and what is known of it.
class member_pool : public std::enable_shared_from_this<member_pool>
{
public:
    using changed_handler = std::function<void()>;

    member_pool(boost::asio::io_context& context, state::member_entry member);

    /// Takes a newer entry of the same member.
    void update(state::member_entry member) { m_member = std::move(member); }
    void set_limits(member_pool_limits limits) { m_limits = limits; }

    /// Opens connections as far as limits and failures allow.
    /// @param waiting statements that would use one
    /// @param changed called when one is open or has failed
    void open_if_needed(std::size_t waiting, changed_handler const& changed);

    /// Takes the idle connection that needs the least for a session's values.
    std::shared_ptr<member_connection>
    acquire(coordination::session_values const& values);

    /// Gives a connection back.
    /// @param clean nothing of a transaction is left on it
    void release(std::shared_ptr<member_connection> const& connection,
                 bool clean);

    /// Ends all connections.
    void close_all();

    /// Ends idle connections above this instance's part.
    void close_surplus(state::time_point now);

    /// Takes the end of a statement.
    /// @param response the time that it took, if the member ran it
    void statement_finished(std::optional<state::duration> response);
    void statement_started() { ++m_in_flight; }

    /// Takes that the member refused for want of room.
    void record_busy(state::time_point now);
    /// Takes that the log lacked a position.
    void record_lagging(state::duration behind);
    /// Takes a position that the member holds.
    /// @param behind the time since the primary went past it; zero if it
    ///     hasn't
    void record_applied(state::log_position position, state::duration behind);

    /// @param primary it may be used as the primary now
    coordination::member_condition condition(bool primary,
                                             state::time_point now) const;

    state::member_entry const& member() const { return m_member; }
    std::size_t connections() const { return m_all.size(); }
    std::uint32_t in_flight() const { return m_in_flight; }
    state::duration lag() const { return m_lag; }
    /// @return when the member last told its position, or that it lags
    state::time_point last_lag_update() const { return m_last_lag_update; }

    /// @return since when every try to reach the member fails
    std::optional<state::time_point> failing_since() const
    {
        return m_failing_since;
    }
    /// Takes any answer of the member.
    void record_answer() { m_failing_since.reset(); }
    void record_failure(state::time_point now);

private:
    void opened(std::shared_ptr<member_connection> const& connection,
                opening_result result);
    void remove(std::shared_ptr<member_connection> const& connection);
    std::size_t max_connections() const;

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
    std::optional<state::log_position> m_applied;
    state::duration m_lag{};
    state::time_point m_last_lag_update;
    state::time_point m_last_finished;
};

} // namespace camphortide::proxy
