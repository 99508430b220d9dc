#pragma once

#include <algorithm>
#include <compare>

#include <camphortide/state/clock.hpp>

namespace camphortide::coordination
{

/// The time after which an answer is of no use to the caller.
class deadline
{
public:
    constexpr deadline() = default;
    constexpr explicit deadline(state::time_point end) : m_end(end) {}

    /// @return the deadline that lies a time after now
    static constexpr deadline after(state::time_point now, state::duration time)
    {
        return deadline(now + time);
    }

    constexpr state::time_point end() const { return m_end; }

    /// @return true once the answer is of no use
    constexpr bool expired(state::time_point now) const { return now >= m_end; }

    /// @return the time left; zero once expired
    constexpr state::duration remaining(state::time_point now) const
    {
        return std::max(state::duration::zero(), m_end - now);
    }

    /// @return true if work that takes a time would end before the deadline
    constexpr bool fits(state::time_point now, state::duration needed) const
    {
        return now + needed < m_end;
    }

    /// @return the deadline for the next hop, which needs a time for the way
    ///     back
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
