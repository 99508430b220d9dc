#pragma once

#include <cstddef>
#include <optional>

#include <camphortide/coordination/limits/moving_mean.hpp>
#include <camphortide/state/clock.hpp>

namespace camphortide::coordination
{

/// How fast waiting statements get to a member, and by it whether a new one
/// would be answered in time. Answers load above what the members take: what
/// would be late is refused when it comes, so that its caller can come back
/// or go elsewhere, and the members' time goes to those that profit.
class dispatch_rate
{
public:
    /// Takes that a statement was sent to a member.
    /// @param waiting statements that still wait
    void note_dispatch(std::size_t waiting, state::time_point now);

    /// @return how long a new statement waits behind others
    state::duration expected_wait(std::size_t ahead,
                                  state::time_point now) const;

    /// Decides on a new statement.
    /// @param ahead statements that go before it
    /// @param left the time until its answer is due
    /// @param service what a member takes for the answer
    /// @return true if it is likely to be answered in that time
    bool meets_deadline(std::size_t ahead, state::duration left,
                        state::duration service, state::time_point now) const;

private:
    /// Weight of a new interval: some ten starts count.
    static constexpr double weight = 0.1;

    moving_mean m_mean_interval{
        weight}; ///< between starts while some wait, in ms
    std::optional<state::time_point>
        m_last_dispatch; ///< of a start with some waiting
};

} // namespace camphortide::coordination
