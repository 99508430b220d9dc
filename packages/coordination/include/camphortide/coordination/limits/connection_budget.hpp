#pragma once

#include <cstdint>
#include <optional>

#include <camphortide/coordination/limits/share_keeper.hpp>
#include <camphortide/state/clock.hpp>

namespace camphortide::coordination
{

/// Decides when one home may open a connection to one member: within its
/// share, and never when the member itself reports that it has none left.
/// Not thread-safe; used under the lock of the share's keeper.
class connection_budget
{
public:
    /// Takes in the share.
    void set_allowance(share_allowance allowance) { m_allowance = allowance; }

    /// Takes in what the member reports: the connections of all its clients.
    /// @param asked_at a time before the member was asked
    void report(std::int64_t connections, std::int64_t limit,
                state::time_point asked_at);

    /// @return true if a connection may be opened now. While the share is
    ///     guarded that takes a report from after the last change, and there
    ///     is one opening at a time.
    bool may_open(state::time_point now) const;

    /// States that a connection is being opened; it counts from here on.
    void opening();

    /// States that a connection is open.
    void opened(state::time_point now);

    /// States that the member refused to open one.
    void refused(state::time_point now);

    /// States that a connection that was open has ended.
    void closed(state::time_point now);

    /// @return connections that are open or opening
    std::int64_t in_use() const { return m_opening + m_open; }

    /// @return connections to be closed as soon as they are idle
    std::int64_t excess() const;

private:
    struct member_report
    {
        std::int64_t m_connections = 0;
        std::int64_t m_limit = 0;
        state::time_point m_asked_at;
    };

    bool member_agrees(state::time_point now) const;

    share_allowance m_allowance;
    std::int64_t m_opening = 0;
    std::int64_t m_open = 0;
    std::optional<member_report> m_report;
    state::time_point m_changed;
    std::optional<state::time_point> m_refused;
};

} // namespace camphortide::coordination
