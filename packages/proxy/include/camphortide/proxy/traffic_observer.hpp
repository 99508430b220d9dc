#pragma once

#include <cstdint>
#include <string>

#include <camphortide/proxy/statement_request.hpp>

namespace camphortide::proxy
{

/// Metrics of one member as observed by this instance.
struct member_gauge
{
    std::string m_group;
    std::string m_member;
    bool m_primary = false;
    std::size_t m_connections = 0;
    std::uint32_t m_in_flight = 0;
    state::duration m_lag{};
    std::size_t m_waiting = 0; ///< statements that wait, of the whole group
    std::uint64_t m_connections_opened = 0;
    /// Connections closed because another customer needed one.
    std::uint64_t m_connections_reassigned = 0;
    /// Statements that waited for a connection to open.
    std::uint64_t m_opening_waits = 0;
    std::size_t m_connections_in_use = 0;
    /// Of the connection that has been in use for longest.
    state::duration m_longest_use{};
    /// Connections closed because a reply was overdue.
    std::uint64_t m_overdue = 0;
};

/// Counts of a group's reads: sent to a replica, or to the primary by reason.
struct read_counts
{
    std::uint64_t m_replica = 0;
    std::uint64_t m_primary_required = 0; ///< by the route or transaction
    std::uint64_t m_no_position = 0;      ///< required position unknown
    std::uint64_t m_replicas_lag = 0;     ///< no replica has applied enough
    std::uint64_t m_replicas_full = 0;    ///< a replica would take longer

    friend auto operator<=>(read_counts const&, read_counts const&) = default;
};

/// How a statement ended, for logs and metrics.
struct statement_end
{
    std::string const& m_group;
    statement_request const& m_request;
    std::string m_member; ///< that answered; empty: none did
    bool m_primary = false;
    state::statement_reply const& m_reply;
    state::time_point m_now;
    state::duration m_permit_age{}; ///< since the permit was verified
    std::string m_cause; ///< of a failure that arose in this instance
};

/// Observer of events in the traffic. Its members are called on the traffic
/// thread.
class traffic_observer
{
public:
    traffic_observer() = default;
    virtual ~traffic_observer() = default;
    traffic_observer(traffic_observer const&) = delete;
    traffic_observer& operator=(traffic_observer const&) = delete;

    /// A statement received its final answer.
    virtual void statement_ended(statement_end const& end) = 0;

    /// A statement is sent again.
    virtual void statement_sent_again(std::string const& group,
                                      statement_request const& request,
                                      std::string const& cause) = 0;

    /// A statement, or a whole session, was refused without sending it to a
    /// member.
    /// @param id ID of the statement; empty: the session was refused
    /// @param database the database that the caller named
    /// @param failure sent to the caller
    virtual void refused_locally(std::string const& id,
                                 std::string const& database,
                                 state::statement_failure const& failure) = 0;

    /// Reachability of a member changed: every attempt has failed for a while,
    /// or one succeeded again.
    virtual void member_reached(std::string const& group,
                                std::string const& member, bool reached) = 0;

    /// Every connection that this instance may have to a member has been in use
    /// for long, or one is available again.
    virtual void connections_exhausted(member_gauge const& member,
                                       bool exhausted) = 0;

    /// This instance can't reach the primary. Repeated while that lasts.
    virtual void primary_unreachable(std::string const& group,
                                     std::string const& member) = 0;

    /// This instance no longer uses the primary under records up to a revision.
    virtual void primary_closed(std::string const& group,
                                state::store_revision const& revision) = 0;
};

} // namespace camphortide::proxy
