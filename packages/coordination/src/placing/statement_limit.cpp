#include <algorithm>
#include <cmath>

#include <camphortide/coordination/placing/statement_limit.hpp>

namespace camphortide::coordination
{

namespace
{

/// Lower bound of the statements that one home may have at a near member.
constexpr std::uint32_t min_statements = 2;
/// Statements of all homes for each slot of a member: when one ends, the next
/// is already queued there.
constexpr std::uint32_t statements_per_slot = 3;
/// Round trips up to this are covered by the statements queued at the member.
constexpr double near_round_trip_ms = 5;
/// Longer round trips are treated as this one: the least response of a member
/// that is overloaded for long contains its queue.
constexpr double max_round_trip_ms = 150;
/// Lower bound of the time that a member takes for a statement. The mean and
/// the least response are measured in whole milliseconds.
constexpr double min_work_ms = 4;

} // namespace

std::uint32_t statement_limit(statement_limit_inputs const& inputs)
{
    auto const homes = static_cast<std::uint32_t>(inputs.m_homes);
    auto limit =
        std::max(min_statements,
                 (inputs.m_slots * statements_per_slot + homes - 1) / homes);
    auto const least = static_cast<double>(inputs.m_least_response.count());
    auto const mean = static_cast<double>(inputs.m_mean_response.count());
    double const round_trip = std::min(least, max_round_trip_ms);
    if (mean > 0 && round_trip > near_round_trip_ms)
    {
        double const work = std::max(mean - round_trip, min_work_ms);
        double const per_ms = inputs.m_slots / work / homes;
        limit += static_cast<std::uint32_t>(std::ceil(per_ms * round_trip));
    }
    return std::max(std::min(limit, inputs.m_capacity), std::uint32_t{1});
}

} // namespace camphortide::coordination
