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

/// A connection of a pool. A number is never used twice, so that what comes
/// late from a connection that was closed matches none.
struct connection_id
{
    std::uint64_t m_generation = 0;

    friend constexpr auto operator<=>(connection_id, connection_id) = default;
};

/// What the owner of a pool has to do.
struct pool_action
{
    enum class kind
    {
        open, ///< then tell opened() or lost()
        close ///< then tell lost() once the endpoint counts it no more
    };

    kind m_kind = kind::open;
    connection_id m_connection;

    friend auto operator<=>(pool_action const&, pool_action const&) = default;
};

/// Limits of a pool of connections.
struct pool_limits
{
    std::size_t m_warm = 2; ///< idle or opening ones that are kept ready
    std::uint64_t m_max_uses = 100000;
    state::duration m_max_age{600000};
    /// how long before its greatest age a connection's successor is opened
    state::duration m_replace_ahead{5000};
    state::duration m_retry_after{50}; ///< doubles with each failed opening
    state::duration m_max_retry_after{5000};
};

/// The connections of this instance to one member. Never holds more than its
/// budget, counting those that open and close.
class connection_pool
{
public:
    using actions = std::vector<pool_action>;

    explicit connection_pool(pool_limits limits);

    /// Sets how many connections may be held at a time. A lower budget takes
    /// effect as connections close: idle ones at once, busy ones when they
    /// are released.
    void set_budget(std::size_t connections);

    /// Sets the share of the member's connections, and how sure it is. While
    /// it is provisional, one connection is opened at a time, and only if the
    /// member reports room.
    void set_allowance(share_allowance allowance);

    /// Takes in what the member reports: the connections of all its clients.
    /// @param asked_at a time before the member was asked
    void note_report(std::int64_t connections, std::int64_t limit,
                     state::time_point asked_at);

    /// Sets how many requests wait for a connection, beyond the warm ones.
    void set_waiting(std::size_t requests);

    /// Takes the idle connection that was used last.
    /// @return nothing if none is idle
    std::optional<connection_id> acquire(state::time_point now);

    /// Gives a connection back that the endpoint confirmed clean.
    void release(connection_id connection, state::time_point now);

    /// Gives a connection up that may have an answer outstanding.
    void abandon(connection_id connection);

    /// Takes the confirmation that a connection is open.
    void opened(connection_id connection, state::time_point now);

    /// Takes the end of a connection, in any state; also a failed opening.
    void lost(connection_id connection, state::time_point now);

    /// Takes the news that an endpoint that was away answers again, so that
    /// the next opening need not wait for those that failed.
    void endpoint_returned();

    /// Works out what to open and close now. Call it after every change and
    /// at next_step().
    actions step(state::time_point now);

    /// @return when step() has to be called without a change; nothing if
    ///     there is no such time
    std::optional<state::time_point> next_step() const;

    /// Numbers the next statement on a busy connection.
    /// @return the number; 0 if the connection is not busy
    std::uint64_t next_request(connection_id connection);

    /// Matches an answer with the statement that is awaited.
    /// @return false if the answer is late or not expected and must reach
    ///     nobody
    bool take_answer(connection_id connection, std::uint64_t request);

    /// @return true if the connection is busy and no answer is outstanding
    bool quiet(connection_id connection) const;

    std::size_t idle() const { return m_idle.size(); }
    std::size_t busy() const { return m_busy; }
    std::size_t opening() const { return m_opening; }
    std::size_t closing() const { return m_closing; }
    /// @return all that the endpoint may count
    std::size_t held() const { return m_connections.size(); }
    /// @return connections that callers could use now
    std::size_t wanted() const;
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
    bool worn(connection const& value, state::time_point now) const;
    bool wears_soon(connection const& value, state::time_point now) const;
    std::size_t lasting(state::time_point now) const;
    void close_worn(state::time_point now);
    void close(std::uint64_t generation);
    void shrink();
    void open_wanted(state::time_point now, actions& into);
    void note_failure(state::time_point now);
    void leave(phase value);
    void move(connection& value, phase to);

    pool_limits m_limits;
    connection_budget m_budget;
    std::size_t m_waiting = 0;
    std::uint64_t m_last_generation = 0;
    std::unordered_map<std::uint64_t, connection> m_connections;
    std::vector<std::uint64_t> m_idle; ///< last used last
    std::vector<std::uint64_t> m_to_close;
    std::size_t m_busy = 0;
    std::size_t m_opening = 0;
    std::size_t m_closing = 0;
    std::size_t m_failures = 0; ///< rounds of openings in a row
    state::time_point m_not_before;
};

} // namespace camphortide::coordination
