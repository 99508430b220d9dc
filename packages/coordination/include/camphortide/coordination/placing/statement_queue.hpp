#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include <camphortide/state/clock.hpp>

namespace camphortide::coordination
{

/// A statement that waits for a member.
struct waiting_statement
{
    /// Identifies the statement.
    std::uint64_t m_number = 0;
    /// When the caller's request arrived.
    state::time_point m_arrived;
    /// If sent by then, it is likely to be answered within its caller's target
    /// latency.
    state::time_point m_send_by;
    /// An answer after this time is useless.
    state::time_point m_deadline;
    /// 0 is the highest priority.
    std::uint32_t m_priority = 0;
    bool m_primary_only = false;

    friend auto operator<=>(waiting_statement const&,
                            waiting_statement const&) = default;
};

/// The queue of the statements that wait for the members of one group.
/// Statements that can still be sent in time come first, ordered by that time;
/// late statements follow, ordered by priority and arrival. Under overload,
/// members thus serve the statements that still benefit from an early answer.
/// No statement waits beyond its deadline.
class statement_queue
{
public:
    /// Adds a statement.
    void push(waiting_statement const& item);

    /// Removes a statement.
    /// @return false if it isn't queued
    bool erase(std::uint64_t number);

    /// @return the statements in the order in which they are to be sent
    std::vector<waiting_statement> in_order(state::time_point now) const;

    /// Removes and returns the statements whose deadline has passed.
    std::vector<waiting_statement> take_expired(state::time_point now);

    /// @return the earliest deadline; nothing if the queue is empty
    std::optional<state::time_point> next_expiry() const;

    std::size_t size() const { return m_items.size(); }

private:
    std::map<std::uint64_t, waiting_statement> m_items;
};

} // namespace camphortide::coordination
