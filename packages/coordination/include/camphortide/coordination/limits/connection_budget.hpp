#pragma once

#include <cstdint>
#include <optional>

#include <camphortide/coordination/limits/share_manager.hpp>
#include <camphortide/state/clock.hpp>

namespace camphortide::coordination
{

/// Decides when one home may open a connection to one member: within the home's
/// share, and never while the member reports that its limit is reached. The
/// connection pool counts the connections. Not thread-safe; used under the lock
/// of the share manager.
class connection_budget
{
public:
    /// Updates the share.
    void set_allowance(share_allowance allowance) { m_allowance = allowance; }

    /// Records the member's report of the connections of all its clients.
    /// @param requested_at a time before the report was requested
    void note_report(std::int64_t connections, std::int64_t limit,
                     state::time_point requested_at);

    /// @param opening connections that are being opened
    /// @param in_use all connections that the member may count: opening, open
    ///     and closing
    /// @return true if a connection may be opened now. While the share is
    ///     provisional, this requires a report from after the last change, and
    ///     only one connection is opened at a time.
    bool may_open(std::int64_t opening, std::int64_t in_use,
                  state::time_point now) const;

    /// Records that a connection was opened or closed.
    void note_change(state::time_point now) { m_last_change = now; }

    /// Records that the member refused to open a connection.
    void note_refusal(state::time_point now);

    /// @return true if the last report is at most one second old
    bool has_recent_report(state::time_point now) const;

    /// @return the number of connections that the home may hold
    std::int64_t amount() const { return m_allowance.m_amount; }

private:
    struct member_report
    {
        std::int64_t m_connections = 0;
        std::int64_t m_limit = 0;
        state::time_point m_requested_at;
    };

    bool member_allows(std::int64_t opening, state::time_point now) const;

    share_allowance m_allowance;
    std::optional<member_report> m_report;
    state::time_point m_last_change;
    std::optional<state::time_point> m_last_refusal;
};

} // namespace camphortide::coordination
