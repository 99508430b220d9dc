#include <algorithm>
#include <limits>

#include <camphortide/coordination/placing/member_choice.hpp>

namespace camphortide::coordination
{

namespace
{

/// Factor on the expected response time of the primary, which keeps it free for
/// the statements that only it can execute.
constexpr double primary_cost_factor = 2.0;
/// Factor on the expected response time of a member in another data centre: it
/// is used once a statement is at the near one already.
constexpr double remote_cost_factor = 2.0;
/// Lower bound of the response times that are compared, in milliseconds. A
/// member that hasn't answered yet counts with it and is therefore chosen soon.
constexpr double min_response_ms = 1.0;
/// Allowance for a lag that has grown since it was measured.
constexpr double lag_growth_factor = 1.3;

bool probably_holds(member_condition const& member,
                    placement_requirements const& requirements,
                    state::time_point now)
{
    if (member.m_primary || !requirements.m_required_position)
    {
        return true;
    }
    if (member.m_applied &&
        *member.m_applied >= *requirements.m_required_position)
    {
        return true;
    }
    if (!requirements.m_required_reached_at)
    {
        return false;
    }
    auto const age = static_cast<double>(
        (now - *requirements.m_required_reached_at).count());
    return age > static_cast<double>(member.m_lag.count()) * lag_growth_factor;
}

bool is_eligible(member_condition const& member,
                 placement_requirements const& requirements, std::size_t index,
                 state::time_point now)
{
    bool const attempted = (requirements.m_attempted >> index & 1U) != 0;
    if (!member.m_usable || (attempted && !member.m_primary))
    {
        return false;
    }
    return requirements.m_primary ? member.m_primary
                                  : probably_holds(member, requirements, now);
}

double expected_ms(member_condition const& member)
{
    double const response = std::max(member.m_response_ms, min_response_ms);
    double const primary_weight = member.m_primary ? primary_cost_factor : 1.0;
    double const remote_weight = member.m_remote ? remote_cost_factor : 1.0;
    return (response * (1.0 + member.m_in_flight) + member.m_opening_ms) *
           primary_weight * remote_weight;
}

} // namespace

placement choose_member(placement_requirements const& requirements,
                        std::span<member_condition const> members,
                        state::time_point now)
{
    placement choice;
    std::optional<std::size_t> chosen;
    double best = std::numeric_limits<double>::max();
    for (std::size_t index = 0; index < members.size(); ++index)
    {
        auto const& member = members[index];
        if (!is_eligible(member, requirements, index, now))
        {
            continue;
        }
        choice.m_possible = true;
        double const expected = expected_ms(member);
        if ((member.m_free || member.m_openable) && expected < best)
        {
            best = expected;
            chosen = index;
        }
    }
    if (chosen)
    {
        (members[*chosen].m_free ? choice.m_member : choice.m_opening_member) =
            chosen;
    }
    return choice;
}

} // namespace camphortide::coordination
