#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>

#include <camphortide/coordination/request/accept_read.hpp>
#include <camphortide/coordination/request/deadline.hpp>
#include <camphortide/coordination/request/retry_budget.hpp>

namespace camphortide::coordination
{

/// What to do with a read after an attempt that did not complete it.
struct attempt_result
{
    bool m_retry = false;                         ///< route the read again
    state::reason m_reason = state::reason::none; ///< reason of the refusal

    friend auto operator<=>(attempt_result const&,
                            attempt_result const&) = default;
};

/// The attempts at one read. As a read has no side effects, it may be sent
/// again within its deadline and the retry budget.
class read_attempts
{
public:
    explicit read_attempts(deadline end);

    /// Records an attempt that got no answer, or one without a result.
    /// @param member its index among the members; the next attempt avoids it
    /// @param why the reason to report if the read is refused
    /// @param budget charged for the next attempt
    /// @param now when the attempt failed
    attempt_result failed(std::size_t member, state::reason why,
                          retry_budget& budget, state::time_point now);

    /// Records an answer that accept_read did not release. The first retry at
    /// the primary is not charged to the budget, since such an answer indicates
    /// no fault.
    /// @param why the reason to report if the read is refused
    /// @param budget charged for the next attempt, except the first of these
    /// @param now when the answer was rejected
    attempt_result rejected(state::reason why, retry_budget& budget,
                            state::time_point now);

    /// Computes when an attempt that is sent now counts as failed.
    /// @param expected the expected time of a read at the member
    /// @param now when the attempt is sent
    /// @return several times the expected time from now, so that an
    ///     unresponsive member leaves time for another one; doubled with each
    ///     attempt, since the read itself may take long; no later than halfway
    ///     to the deadline
    state::time_point attempt_deadline(state::duration expected,
                                       state::time_point now) const;

    /// Records that the read waited, after which every member may be attempted
    /// again.
    void note_wait() { m_attempted = 0; }

    /// @return for read_input: the members that failed, as bits
    std::uint32_t attempted() const { return m_attempted; }
    /// @return for read_input: the next attempt goes to the primary
    bool primary_next() const { return m_primary_next; }
    /// @return the number of attempts that did not complete the read
    std::uint32_t count() const { return m_count; }

private:
    attempt_result next_attempt(bool charged, state::reason why,
                                retry_budget& budget, state::time_point now);

    deadline m_end;
    std::uint32_t m_attempted = 0;
    std::uint32_t m_count = 0;
    bool m_primary_next = false;
};

} // namespace camphortide::coordination
