#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>

#include <camphortide/state/clock.hpp>

namespace camphortide::coordination
{

/// What the number of statements of one home at a member depends on.
struct statement_limit_inputs
{
    std::uint32_t m_slots = 1; ///< of the member
    std::size_t m_homes = 1;   ///< instances that share the member; at least 1
    /// Least time that the member took to respond to anything that occupies no
    /// slot, such as a new connection: the network's round trip.
    state::duration m_least_response{};
    /// Mean response time of recent statements, from sending to reply; zero
    /// until one was measured.
    state::duration m_mean_response{};
    /// Statements that the member and this home's connections can hold.
    std::uint32_t m_capacity = 1;

    friend auto operator<=>(statement_limit_inputs const&,
                            statement_limit_inputs const&) = default;
};

/// Computes how many statements one home may have at a member. A few per slot
/// keep the member busy. Those that are on the way there or back occupy no
/// slot, so by Little's law a home needs in addition its share of the member's
/// throughput times the round trip. The throughput follows from the time that
/// the member itself takes: the limit shrinks as the member slows down.
/// @return the limit, at least 1; the number per slot alone if the member is
///     near
std::uint32_t statement_limit(statement_limit_inputs const& inputs);

} // namespace camphortide::coordination
