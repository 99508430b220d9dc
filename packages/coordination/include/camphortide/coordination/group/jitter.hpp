#pragma once

#include <cstdint>

#include <camphortide/state/clock.hpp>

namespace camphortide::coordination
{

/// Generates random waits from an explicit seed, so that a run is reproducible.
/// @see G. Steele, D. Lea and C. Flood, "Fast Splittable Pseudorandom Number
///     Generators" (SplitMix64)
class jitter
{
public:
    /// @param seed differs between the instances of a fleet
    explicit jitter(std::uint64_t seed) : m_state(seed) {}

    /// @param limit the maximum wait
    /// @return a wait between 0 and the limit
    state::duration draw(state::duration limit);

private:
    std::uint64_t m_state;
};

} // namespace camphortide::coordination
