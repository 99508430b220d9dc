#pragma once

#include <cstdint>
#include <string>

#include <camphortide/proxy/statement_request.hpp>

namespace camphortide::proxy
{

/// Figures of one member as this instance sees it.
struct member_gauge
{
    std::string m_group;
    std::string m_member;
    bool m_primary = false;
    std::size_t m_connections = 0;
    std::uint32_t m_in_flight = 0;
    state::duration m_lag{};
    std::size_t m_waiting = 0; ///< statements of the group
};

/// Where the reads of a group went, and why not to a replica.
struct read_counts
{
    std::uint64_t m_replica = 0;
    std::uint64_t m_primary_required = 0; ///< by the route, or a transaction
    std::uint64_t m_no_position = 0; ///< no position of the primary is known
    std::uint64_t m_replicas_lag = 0;
    std::uint64_t m_replicas_full = 0; ///< they would wait longer

    friend auto operator<=>(read_counts const&, read_counts const&) = default;
};

/// How a statement ended, for logs and metrics.
struct statement_end
{
    std::string const& m_group;
    statement_request const& m_request;
    std::string m_member; ///< that answered; empty: none
    bool m_primary = false;
    state::statement_reply const& m_reply;
    state::time_point m_now;
    state::duration m_permit_age{}; ///< of the proof that allowed the primary
    std::string m_cause;            ///< of a failure that was decided here
};

/// Takes what the traffic does and learns. Called on the traffic thread.
class traffic_observer
{
public:
    traffic_observer() = default;
    virtual ~traffic_observer() = default;
    traffic_observer(traffic_observer const&) = delete;
    traffic_observer& operator=(traffic_observer const&) = delete;

    /// A statement has its final answer.
    virtual void statement_ended(statement_end const& end) = 0;

    /// A statement is sent anew.
    virtual void statement_sent_again(std::string const& group,
                                      statement_request const& request,
                                      std::string const& cause) = 0;

    /// A statement, or a whole session, was refused without a member.
    virtual void refused_locally(std::string const& id,
                                 std::string const& database,
                                 state::statement_failure const& failure) = 0;

    /// Every try to reach a member fails, or one succeeds again.
    virtual void member_reached(std::string const& group,
                                std::string const& member, bool reached) = 0;

    /// The primary isn't reached by this instance.
    virtual void primary_unreachable(std::string const& group,
                                     std::string const& member) = 0;

    /// This instance doesn't use a primary any more.
    virtual void primary_closed(std::string const& group,
                                std::uint64_t revision) = 0;
};

} // namespace camphortide::proxy
