#pragma once

#include <cstdint>

#include <camphortide/state/clock.hpp>

namespace camphortide::transport
{

/// Waiting times between attempts: they double up to a limit, and each is
/// drawn between half and the whole of its step.
class backoff
{
public:
    /// @param first the first step
    /// @param most the longest step
    backoff(state::duration first_step, state::duration max_step);

    /// @param random any random number
    /// @return the time to wait before the next attempt
    state::duration next(std::uint64_t random);

    /// Begins with the first step again, after a success.
    void reset() { m_step = m_first_step; }

private:
    state::duration m_first_step;
    state::duration m_max_step;
    state::duration m_step;
};

} // namespace camphortide::transport
