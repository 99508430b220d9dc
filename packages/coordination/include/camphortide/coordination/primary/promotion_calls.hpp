#pragma once

#include <cstddef>
#include <cstdint>

#include <camphortide/state/clock.hpp>

namespace camphortide::coordination
{

/// How long after it was sent a promotion request may still arrive at the
/// platform: its connection breaks when what was sent isn't acknowledged for
/// this long, also if the process has ended or is suspended. The lease of the
/// duty must last as long when a request is sent.
inline constexpr state::duration promotion_call_lifetime{1000};

/// Keeps track of the promotion requests of this process that may still arrive
/// at the platform. The platform doesn't check fencing tokens, so a request
/// must not arrive after one with a higher token.
class promotion_calls
{
public:
    /// Notes a request that is about to be sent.
    void sent(std::uint64_t token, state::time_point now);

    /// Notes the end of a request that was sent.
    /// @param answered false if it was given up
    void finished(bool answered, state::time_point now);

    /// @return true if none of the requests may still arrive
    bool settled(state::time_point now) const;

    /// @return true if no request with another token may still arrive
    bool allows(std::uint64_t token, state::time_point now) const;

private:
    std::uint64_t m_token = 0; ///< of the last request
    state::time_point m_last_sent;
    std::size_t m_outstanding = 0;
    /// When the last request that was given up can't arrive any more.
    state::time_point m_unanswered_until;
};

} // namespace camphortide::coordination
