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
    std::uint64_t m_number = 0;  ///< names it
    state::time_point m_arrived; ///< its caller's request
    /// sent until then it is likely to be answered within its caller's goal
    state::time_point m_send_by;
    state::time_point m_deadline; ///< no answer is of use after this
    std::uint32_t m_priority = 0; ///< 0 is the highest
    bool m_primary_only = false;

    friend auto operator<=>(waiting_statement const&,
                            waiting_statement const&) = default;
};

/// The order of the statements that wait for the members of one group.
/// Statements that can still meet their target go first, by the target's
/// time; then the late ones, by their priority and arrival. Answers load above
/// what the members take: those that profit from an early answer get it.
/// Nothing waits longer than its own latest time.
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

    /// Takes out what has no time left.
    std::vector<waiting_statement> take_expired(state::time_point now);

    /// @return when the next statement has no time left
    std::optional<state::time_point> next_expiry() const;

    std::size_t size() const { return m_items.size(); }

private:
    std::map<std::uint64_t, waiting_statement> m_items;
};

} // namespace camphortide::coordination
