#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <camphortide/state/clock.hpp>

namespace camphortide::coordination
{

/// State of a connection to a member.
enum class connection_phase : std::uint8_t
{
    opening,
    idle,
    in_use
};

/// A connection of this instance to a member.
struct connection_use
{
    std::string m_customer; ///< that it serves; empty: none
    connection_phase m_phase = connection_phase::idle;
    state::time_point m_last_used;
    double m_rate = 0; ///< recent uses per second of its customer
    state::time_point m_opened;

    friend auto operator<=>(connection_use const&,
                            connection_use const&) = default;
};

/// Statements of one customer that wait for a connection to a member.
struct waiting_customer
{
    std::size_t m_statements = 0;
    /// When the one that is sent next must be sent.
    state::time_point m_send_by;
    double m_rate = 0;           ///< recent uses per second of the customer
    double m_rate_of_others = 0; ///< of all other customers together

    friend auto operator<=>(waiting_customer const&,
                            waiting_customer const&) = default;
};

/// Limits of this instance's connections to a member.
struct connection_limits
{
    std::size_t m_connections = 0; ///< open and opening
    std::size_t m_openings = 2;    ///< at the same time
    /// Mean time for which a statement or transaction uses a connection.
    state::duration m_use_time{50};

    friend auto operator<=>(connection_limits const&,
                            connection_limits const&) = default;
};

/// What is to be done with the connections.
struct connection_changes
{
    /// Indexes of idle connections to close.
    std::vector<std::size_t> m_close;
    /// Customers for which a connection is to be opened, one for each.
    std::vector<std::string> m_open;
    /// Customers whose connections in use are to be closed when they are
    /// returned, because customers without a connection wait.
    std::set<std::string> m_reclaim;
    /// How many of those connections are to be closed.
    std::size_t m_reclaim_count = 0;
    /// Customers that need a connection and get none now.
    std::vector<std::string> m_denied;

    friend auto operator<=>(connection_changes const&,
                            connection_changes const&) = default;
};

/// Decides which connections to a member this instance opens and closes. A
/// connection serves one customer only, and there may be more customers than
/// connections.
///
/// - The customer with the fewest connections is served first, and among
///   equals, the one whose statement must be sent first.
/// - At the limit, the idle connection that is least likely to be needed soon
///   is closed. A connection in use is never closed.
/// - The idle connection of a customer with waiting statements is closed in two
///   cases only, for a customer that has no connection: its customer has
///   several, or the other's statement must be sent within `urgency` and before
///   those of the connection's customer, which has had the connection for
///   `tenure`. Without these cases, customers with a constant backlog would
///   keep all connections.
/// - A further connection of a customer leaves room for the expected use by the
///   others.
///
/// Bound on the wait of a customer without a connection: from `urgency` before
/// its statement must be sent, it gets the next connection that becomes idle
/// and has been open for `tenure`, unless that connection's customer has a
/// statement to be sent earlier or another customer without a connection is
/// before it in this order. At most `m_openings` connections are opened at the
/// same time. Where statements are sent in the order of `statement_queue`, one
/// thus waits beyond its time for at most `tenure`, one use of a connection,
/// and the openings for customers in front of it.
class connection_assignment
{
public:
    using waiting_customers = std::map<std::string, waiting_customer>;

    /// How long before its time a statement takes precedence over later ones of
    /// customers that have a connection: four openings of 12 ms.
    static constexpr state::duration urgency{48};
    /// How long a customer with a backlog keeps its only connection. Customers
    /// that take connections from each other thus spend at most 6% of the time
    /// on openings of 12 ms; without this, 20 of them opened 141 per second.
    static constexpr state::duration tenure{200};

    /// @param connections of this instance to the member
    /// @param waiting statements that wait for a connection to the member
    /// @param limits of the connections
    /// @param now the current time
    connection_assignment(std::vector<connection_use> const& connections,
                          waiting_customers const& waiting,
                          connection_limits limits, state::time_point now);

    /// @return the changes to make now
    connection_changes decide();

private:
    /// Connections of one customer, as they are after the changes.
    struct holding
    {
        std::size_t m_total = 0;
        std::size_t m_idle = 0;
        std::size_t m_opening = 0;
        std::size_t m_in_use = 0;
        state::time_point m_opened; ///< the last one
    };
    using waiting_entry = waiting_customers::value_type;

    std::vector<waiting_entry const*> customers_in_need() const;
    bool may_grow(waiting_entry const& customer) const;
    bool make_room(waiting_entry const& customer);
    std::optional<std::size_t> least_needed() const;
    std::optional<std::size_t>
    least_entitled(waiting_entry const& customer) const;
    std::set<std::string> holders_in_use(waiting_entry const& customer) const;
    bool yields(std::string const& holder, waiting_entry const& customer) const;
    double expected_use(connection_use const& connection) const;
    void close(std::size_t index);
    void deny(waiting_entry const& customer);

    std::vector<connection_use> const& m_connections;
    waiting_customers const& m_waiting;
    connection_limits m_limits;
    state::time_point m_now;
    std::map<std::string, holding> m_holdings;
    std::set<std::size_t> m_closed;
    std::size_t m_total = 0;
    std::size_t m_opening = 0;
    connection_changes m_changes;
};

} // namespace camphortide::coordination
