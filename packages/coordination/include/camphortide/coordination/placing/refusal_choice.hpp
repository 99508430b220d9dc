#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

#include <camphortide/state/clock.hpp>

namespace camphortide::coordination
{

/// A statement that waits for members whose capacity may not suffice for all.
struct competing_statement
{
    /// If sent by then, it is likely to be answered in time.
    state::time_point m_send_by;
    /// 0 is the highest priority.
    std::uint32_t m_priority = 0;
    /// Time that a member needs for statements of its class, relative to the
    /// mean of all classes.
    double m_work = 1;
    /// It has just arrived.
    bool m_arriving = false;

    friend auto operator<=>(competing_statement const&,
                            competing_statement const&) = default;
};

/// Chooses the statements to refuse so that all others can be sent in time, in
/// the order of their times. Whenever a statement would be late, the longest
/// one of the lowest priority up to it is refused: this frees more time than
/// refusing any other, so that the greatest number of callers is served in
/// time. A waiting statement gives way only to arriving ones of clearly less
/// work.
/// @param statements the waiting ones that can still be in time, and those that
///     arrive
/// @param interval_ms mean time between two statements that are sent
/// @param now the current time, or when the next statement is expected to be
///     sent
/// @return indexes of the statements to refuse
/// @see J. M. Moore, "An n Job, One Machine Sequencing Algorithm for Minimizing
///     the Number of Late Jobs", 1968
std::vector<std::size_t>
choose_refusals(std::span<competing_statement const> statements,
                double interval_ms, state::time_point now);

} // namespace camphortide::coordination
