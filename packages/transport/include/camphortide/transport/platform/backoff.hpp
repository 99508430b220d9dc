#pragma once

#include <cstdint>

#include <camphortide/state/clock.hpp>

namespace camphortide::transport
{

/// Exponential backoff with jitter: the step doubles up to a maximum, and each
/// wait is chosen at random between half of the step and the whole step.
class backoff
{
public:
    /// @param first_step the initial step
    /// @param max_step the longest step
    backoff(state::duration first_step, state::duration max_step);

    /// @param random a random number
    /// @return the time to wait before the next attempt
    state::duration next(std::uint64_t random);

    /// Returns to the initial step, after a success.
    void reset() { m_step = m_first_step; }

private:
    state::duration m_first_step;
    state::duration m_max_step;
    state::duration m_step;
};

} // namespace camphortide::transport
