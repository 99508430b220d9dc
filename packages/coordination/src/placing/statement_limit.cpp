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
/// Longer round trips are treated as this one: a home whose network is
/// overloaded from its start doesn't measure a shorter one.
constexpr double max_round_trip_ms = 150;
/// Factor on the measured throughput, so that it can grow. At a member without
/// free slots, the surplus waits there for a quarter of the round trip.
constexpr double growth_factor = 1.25;

} // namespace

std::uint32_t statement_limit(statement_limit_inputs const& inputs)
{
    auto const homes = static_cast<std::uint32_t>(inputs.m_homes);
    auto limit =
        std::max(min_statements,
                 (inputs.m_slots * statements_per_slot + homes - 1) / homes);
    auto const least = static_cast<double>(inputs.m_least_response.count());
    double const round_trip = std::min(least, max_round_trip_ms);
    if (round_trip > near_round_trip_ms)
    {
        double const on_the_way = inputs.m_answered_per_s * round_trip / 1000;
        limit +=
            static_cast<std::uint32_t>(std::ceil(on_the_way * growth_factor));
    }
    return std::max(std::min(limit, inputs.m_capacity), std::uint32_t{1});
}

} // namespace camphortide::coordination
