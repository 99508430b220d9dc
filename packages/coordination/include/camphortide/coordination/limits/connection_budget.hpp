#pragma once

#include <cstdint>
#include <optional>

#include <camphortide/coordination/limits/share_manager.hpp>
#include <camphortide/state/clock.hpp>

namespace camphortide::coordination
{

/// Decides when one home may open a connection to one member: within its
/// share, and never when the member itself reports that it has none left. The
/// connections are counted by the pool. Not thread-safe; used under the lock
/// of the share's manager.
class connection_budget
{
public:
    /// Takes in the share.
    void set_allowance(share_allowance allowance) { m_allowance = allowance; }

    /// Takes in what the member reports: the connections of all its clients.
    /// @param requested_at a time before the member was asked
    void note_report(std::int64_t connections, std::int64_t limit,
                     state::time_point requested_at);

    /// @param opening connections that are being opened
    /// @param in_use all that the member may count: opening, open, closing
    /// @return true if a connection may be opened now. While the share is
    ///     provisional that takes a note_report from after the last change, and
    ///     there is one opening at a time.
    bool may_open(std::int64_t opening, std::int64_t in_use,
                  state::time_point now) const;

    /// States that a connection opened or ended.
    void note_change(state::time_point now) { m_last_change = now; }

    /// States that the member note_refusal to open one.
    void note_refusal(state::time_point now);

    /// @return true if the member reported lately
    bool has_recent_report(state::time_point now) const;

    /// @return the connections that the home may hold
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
