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
    /// Least time that a network connection to the member took to establish:
    /// the round trip.
    state::duration m_least_response{};
    /// Statements per second that the member answered to this home recently.
    double m_answered_per_s = 0;
    /// Statements that the member and this home's connections can hold.
    std::uint32_t m_capacity = 1;

    friend auto operator<=>(statement_limit_inputs const&,
                            statement_limit_inputs const&) = default;
};

/// Computes how many statements one home may have at a member. A few per slot
/// keep the member busy. Those that are on the way there or back occupy no
/// slot, so by Little's law a home needs in addition its throughput times the
/// round trip. The throughput is the home's own, so that homes with more demand
/// get more; a margin lets it grow. A member that slows down answers fewer, and
/// the limit shrinks with them. In a queue that several homes fill, the limit
/// of a far home doesn't fall behind those of near ones: it doesn't depend on
/// the time that statements wait there.
/// @return the limit, at least 1; the number per slot alone if the member is
///     near
std::uint32_t statement_limit(statement_limit_inputs const& inputs);

} // namespace camphortide::coordination
