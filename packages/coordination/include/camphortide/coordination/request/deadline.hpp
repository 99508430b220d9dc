#pragma once

#include <algorithm>
#include <compare>

#include <camphortide/state/clock.hpp>

namespace camphortide::coordination
{

/// The time after which the caller no longer waits for an answer.
class deadline
{
public:
    constexpr deadline() = default;
    constexpr explicit deadline(state::time_point end) : m_end(end) {}

    /// @return the deadline that is reached when the time has passed after now
    static constexpr deadline after(state::time_point now, state::duration time)
    {
        return deadline(now + time);
    }

    constexpr state::time_point end() const { return m_end; }

    /// @return true once the deadline is reached
    constexpr bool expired(state::time_point now) const { return now >= m_end; }

    /// @return the remaining time; zero once the deadline is reached
    constexpr state::duration remaining(state::time_point now) const
    {
        return std::max(state::duration::zero(), m_end - now);
    }

    /// @return true if work of this duration would end before the deadline
    constexpr bool fits(state::time_point now, state::duration needed) const
    {
        return now + needed < m_end;
    }

    /// @return the deadline for the next hop, earlier by the time that the
    ///     answer needs to travel back
    constexpr deadline less(state::duration margin) const
    {
        return deadline(m_end - margin);
    }

    friend constexpr auto operator<=>(deadline const&,
                                      deadline const&) = default;

private:
    state::time_point m_end;
};

} // namespace camphortide::coordination
