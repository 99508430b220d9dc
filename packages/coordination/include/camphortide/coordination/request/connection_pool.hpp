#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include <camphortide/coordination/limits/connection_budget.hpp>
#include <camphortide/state/clock.hpp>

namespace camphortide::coordination
{

/// Identifies a connection of a pool. Generations are never reused, so that a
/// late message from a closed connection matches no current one.
struct connection_id
{
    std::uint64_t m_generation = 0;

    friend constexpr auto operator<=>(connection_id, connection_id) = default;
};

/// An action that the owner of a pool has to perform.
struct pool_action
{
    enum class kind
    {
        open, ///< then call opened() or lost()
        close ///< then call lost() once the endpoint no longer counts it
    };

    kind m_kind = kind::open;
    connection_id m_connection;

    friend auto operator<=>(pool_action const&, pool_action const&) = default;
};

/// Limits of a connection pool.
struct pool_limits
{
    std::size_t m_min_idle = 2; ///< idle or opening connections to keep ready
    std::uint64_t m_max_uses = 100000;
    state::duration m_max_age{600000};
    /// How long before a connection reaches m_max_age its replacement is
    /// opened.
    state::duration m_replacement_lead{5000};
    /// Delay after a failed opening; doubles with each one.
    state::duration m_retry_delay{50};
    state::duration m_max_retry_delay{5000};
};

/// The connections of this instance to one member. The number of connections,
/// including those that are opening or closing, never exceeds the budget.
class connection_pool
{
public:
    using actions = std::vector<pool_action>;

    explicit connection_pool(pool_limits limits);

    /// Sets the maximum number of connections. After a reduction, surplus idle
    /// and opening connections are closed at the next step, busy ones when they
    /// are released.
    /// @param connections the maximum
    void set_budget(std::size_t connections);

    /// Sets this instance's share of the member's connections and whether that
    /// share is exclusive or provisional. While it is provisional, connections
    /// are opened one at a time, and only if the member reports free capacity.
    void set_allowance(share_allowance allowance);

    /// Records the member's report on the connections of all its clients.
    /// @param connections the number of connections that the member has
    /// @param limit the maximum that the member accepts
    /// @param requested_at a time before the report was requested
    void note_report(std::int64_t connections, std::int64_t limit,
                     state::time_point requested_at);

    /// Sets how many requests wait for a connection. That many connections are
    /// wanted in addition to m_min_idle.
    /// @param requests the number of waiting requests
    void set_waiting(std::size_t requests);

    /// Acquires the most recently used idle connection.
    /// @return nothing if no connection is idle
    std::optional<connection_id> acquire(state::time_point now);

    /// Returns a connection to the pool after the endpoint confirmed that no
    /// state is left on it.
    void release(connection_id connection, state::time_point now);

    /// Closes a connection that may have an answer outstanding, instead of
    /// returning it to the pool.
    void abandon(connection_id connection);

    /// Handles the confirmation that a connection is open.
    void opened(connection_id connection, state::time_point now);

    /// Handles the end of a connection in any state, including a failed
    /// opening.
    void lost(connection_id connection, state::time_point now);

    /// Handles the recovery of an unreachable endpoint: the next opening does
    /// not wait for the backoff of the failed ones.
    void endpoint_recovered();

    /// Determines which connections to open and close now. Has to be called
    /// after every change and at next_step().
    actions step(state::time_point now);

    /// @return when step() has to be called even without a change; nothing if
    ///     no such time is scheduled
    std::optional<state::time_point> next_step() const;

    /// Assigns a number to the next statement on a busy connection.
    /// @return the number; 0 if the connection is not busy or an answer is
    ///     outstanding
    std::uint64_t next_request(connection_id connection);

    /// Matches an answer with the outstanding statement of a connection.
    /// @return false if the answer is late or unexpected and has to be
    ///     discarded
    bool match_answer(connection_id connection, std::uint64_t request);

    /// @return true if the connection is busy and has no answer outstanding
    bool is_quiescent(connection_id connection) const;

    std::size_t idle() const { return m_idle.size(); }
    std::size_t busy() const { return m_busy; }
    std::size_t opening() const { return m_opening; }
    std::size_t closing() const { return m_closing; }
    /// @return the connections that the endpoint may count, including those
    ///     that are opening or closing
    std::size_t held() const { return m_connections.size(); }
    /// @return the number of connections that the present load would use: busy
    ///     and waiting requests plus m_min_idle
    std::size_t demand() const;
    std::size_t budget() const
    {
        return static_cast<std::size_t>(m_budget.amount());
    }

private:
    enum class phase
    {
        opening,
        idle,
        busy,
        closing
    };

    struct connection
    {
        phase m_phase = phase::opening;
        state::time_point m_opened;
        std::uint64_t m_uses = 0;
        std::uint64_t m_last_request = 0;
        std::uint64_t m_awaited = 0; ///< 0: no answer outstanding
    };

    connection* find(connection_id id);
    bool is_expired(connection const& value, state::time_point now) const;
    bool expires_soon(connection const& value, state::time_point now) const;
    std::size_t count_lasting_idle(state::time_point now) const;
    void close_expired(state::time_point now);
    void close(std::uint64_t generation);
    void close_surplus();
    void open_missing(state::time_point now, actions& to_perform);
    void note_failure(state::time_point now);
    void decrement_phase_count(phase value);
    void change_phase(connection& value, phase to);

    pool_limits m_limits;
    connection_budget m_budget;
    std::size_t m_waiting = 0;
    std::uint64_t m_last_generation = 0;
    std::unordered_map<std::uint64_t, connection> m_connections;
    std::vector<std::uint64_t> m_idle; ///< most recently used last
    std::vector<std::uint64_t> m_pending_closes;
    std::size_t m_busy = 0;
    std::size_t m_opening = 0;
    std::size_t m_closing = 0;
    std::size_t m_failures = 0; ///< consecutive rounds of failed openings
    state::time_point m_not_before;
};

} // namespace camphortide::coordination
