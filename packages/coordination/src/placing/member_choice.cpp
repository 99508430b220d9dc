#include <algorithm>
#include <limits>

#include <camphortide/coordination/placing/member_choice.hpp>

namespace camphortide::coordination
{

namespace
{

/// How much longer a read at the primary counts than at a replica.
constexpr double primary_weight = 2.0;
/// The least response time that is told apart, in milliseconds; also that of
/// a member that has not answered yet, so that it is tried.
constexpr double least_response_ms = 1.0;
/// A lag that was seen may grow by so much before a guess fails.
constexpr double lag_reserve = 1.3;

bool likely_holds(member_condition const& member, placing_need const& need,
                  state::time_point now)
{
    if (member.m_primary || !need.m_covered)
    {
        return true;
    }
    if (member.m_applied && *member.m_applied >= *need.m_covered)
    {
        return true;
    }
    if (!need.m_covered_since)
    {
        return false;
    }
    auto const age = static_cast<double>((now - *need.m_covered_since).count());
    return age > static_cast<double>(member.m_lag.count()) * lag_reserve;
}

bool fits(member_condition const& member, placing_need const& need,
          std::size_t index, state::time_point now)
{
    bool const tried = (need.m_tried >> index & 1U) != 0;
    if (!member.m_usable || (tried && !member.m_primary))
    {
        return false;
    }
    return need.m_primary ? member.m_primary : likely_holds(member, need, now);
}

double expected_ms(member_condition const& member)
{
    double const response = std::max(member.m_response_ms, least_response_ms);
    double const weight = member.m_primary ? primary_weight : 1.0;
    return response * (1.0 + member.m_in_flight) * weight;
}

} // namespace

placing_choice choose_member(placing_need const& need,
                             std::span<member_condition const> members,
                             state::time_point now)
{
    placing_choice choice;
    double best = std::numeric_limits<double>::max();
    for (std::size_t index = 0; index < members.size(); ++index)
    {
        auto const& member = members[index];
        if (!fits(member, need, index, now))
        {
            continue;
        }
        choice.m_possible = true;
        double const expected = expected_ms(member);
        if (member.m_free && expected < best)
        {
            best = expected;
            choice.m_member = index;
        }
    }
    return choice;
}

} // namespace camphortide::coordination
