#pragma once

#include <cstddef>
#include <optional>
#include <span>
#include <vector>

#include <camphortide/coordination/limits/moving_mean.hpp>
#include <camphortide/state/clock.hpp>

namespace camphortide::coordination
{

/// Rate at which waiting statements are sent to a member, and whether a new
/// statement would be answered in time. When the load exceeds the capacity of
/// the members, a statement that would be late is refused on arrival: its
/// caller can retry later or elsewhere, and the members work only on statements
/// that can still be in time.
class dispatch_rate
{
public:
    /// Records that a statement was sent to a member.
    /// @param waiting number of statements that still wait
    void note_dispatch(std::size_t waiting, state::time_point now);

    /// @return mean time between two statements that are sent while others
    ///     wait, in ms
    double interval_ms() const;

    /// @return how long the next statement has been overdue, by the interval
    state::duration overdue(state::time_point now) const;

    /// @param ahead number of statements in front of a new one
    /// @return the expected wait of the new statement
    state::duration expected_wait(std::size_t ahead,
                                  state::time_point now) const;

    /// Predicts whether a new statement is answered in time.
    /// @param ahead number of statements in front of it
    /// @param left time until its answer is due
    /// @param service time that a member needs for the answer
    /// @return true if it is likely to be answered in that time
    bool meets_deadline(std::size_t ahead, state::duration left,
                        state::duration service, state::time_point now) const;

    /// Finds the waiting statements whose answers would come after their
    /// deadlines. What isn't known to be late isn't found: nothing is before a
    /// rate was measured.
    /// @param left time until each deadline, in the order in which the
    ///     statements will be sent
    /// @param service time that a member needs for an answer
    /// @return indexes of these statements
    std::vector<std::size_t> hopeless(std::span<state::duration const> left,
                                      state::duration service,
                                      state::time_point now) const;

private:
    /// Weight of a new interval: the mean covers about ten dispatches.
    static constexpr double weight = 0.1;

    /// Between dispatches while statements wait, in ms.
    moving_mean m_mean_interval{weight};
    bool m_measured = false;
    /// Last dispatch, if statements still waited after it.
    std::optional<state::time_point> m_last_dispatch;
};

} // namespace camphortide::coordination
