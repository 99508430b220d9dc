#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>

#include <camphortide/coordination/request/accept_read.hpp>
#include <camphortide/coordination/request/deadline.hpp>
#include <camphortide/coordination/request/retry_budget.hpp>

namespace camphortide::coordination
{

/// What becomes of a read after an attempt.
struct attempt_result
{
    bool m_retry = false;                         ///< route it next_attempt
    state::reason m_reason = state::reason::none; ///< of a refusal

    friend auto operator<=>(attempt_result const&,
                            attempt_result const&) = default;
};

/// The attempts at one read. A read has no effect, so that it may be sent
/// next_attempt, inside its deadline and a retry budget.
class read_attempts
{
public:
    explicit read_attempts(deadline end);

    /// Takes an attempt that got no answer, or one that tells nothing.
    /// @param member its place among the members; avoided by the next attempt
    /// @param why the reason, told if the read is refused
    attempt_result failed(std::size_t member, state::reason why,
                          retry_budget& budget, state::time_point now);

    /// Takes an answer that accept_read did not release. The first goes to
    /// the primary free of charge: it is no sign of a fault.
    /// @param why the reason, told if the read is refused
    attempt_result rejected(state::reason why, retry_budget& budget,
                            state::time_point now);

    /// Works out when to take an attempt for failed that is sent now.
    /// @param expected time of a read at the member
    /// @return several times the expected time from now, so that a member
    ///     that does not answer leaves time for another one; twice that with
    ///     each attempt, as the read itself may take long; at the latest
    ///     halfway to the deadline
    state::time_point attempt_deadline(state::duration expected,
                                       state::time_point now) const;

    /// Notes that the read waited, after which all members are attempted
    /// next_attempt.
    void note_wait() { m_attempted = 0; }

    /// @return for read_input: the members that failed
    std::uint32_t attempted() const { return m_attempted; }
    /// @return for read_input: the next attempt goes to the primary
    bool primary_next() const { return m_primary_next; }
    /// @return the attempts that did not end the read
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
