#include <algorithm>
#include <utility>

#include <camphortide/coordination/request/read_router.hpp>

namespace camphortide::coordination
{

namespace
{

using action = read_choice::action;
using state::member_role;

/// A bijection on 64-bit numbers that separates adjacent values.
/// @see G. Steele, D. Lea and C. Flood, "Fast Splittable Pseudorandom Number
///     Generators", the finalizer of SplitMix64
std::uint64_t spread(std::uint64_t value)
{
    value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9U;
    value = (value ^ (value >> 27)) * 0x94d049bb133111ebU;
    return value ^ (value >> 31);
}

/// Gives a member with a reduced share only that fraction of the reads.
bool sampled_by_share(member_view const& member, std::size_t member_index,
                      std::uint64_t random)
{
    if (member.m_share >= 1.0)
    {
        return true;
    }
    constexpr double range = 18446744073709551616.0; // 2^64
    auto const draw =
        static_cast<double>(spread(random + member_index)) / range;
    return draw < member.m_share;
}

/// A member without any connection, free or in use, will not have a free one
/// soon.
bool has_connection(member_view const& member)
{
    return member.m_free_connections > 0 || member.m_outstanding > 0;
}

bool usable(read_input const& input, std::size_t member_index)
{
    auto const& member = input.m_members[member_index];
    bool const attempted = (input.m_attempted >> member_index & 1U) != 0;
    return member.m_reachable && !member.m_leaving && !attempted &&
           has_connection(member);
}

/// A statement waits for a slot behind the outstanding ones, and for a
/// connection if none is free.
state::duration service_time(member_view const& member)
{
    auto const latency = std::max(member.m_latency, state::duration(1));
    auto const rounds =
        member.m_outstanding / std::max(member.m_slots, std::uint32_t{1});
    auto const queue = latency * static_cast<std::int64_t>(rounds);
    auto const connection =
        member.m_free_connections == 0 ? latency : state::duration::zero();
    return latency + queue + connection;
}

/// Estimates when a replica will have applied the records that the session
/// requires.
/// @return nothing if the allowed age is below the replica's lag, since the
///     answer would still be too old after the wait
std::optional<state::time_point> expected_cover_time(read_input const& input,
                                                     member_view const& member,
                                                     state::duration service)
{
    auto const required_time =
        input.m_requirement.required_as_of(input.m_now + service);
    if (required_time && *required_time > input.m_now - member.m_lag)
    {
        return std::nullopt;
    }
    auto const seen =
        input.m_samples.first_seen(input.m_requirement.covered_index());
    auto const expected =
        seen.value_or(input.m_requirement.m_arrival) + member.m_lag;
    return std::max(expected, input.m_now + state::duration(1));
}

read_candidate candidate_for(read_input const& input, std::size_t member_index)
{
    auto const& member = input.m_members[member_index];
    read_candidate result;
    result.m_member = member_index;
    result.m_service = service_time(member);
    auto const index = input.m_requirement.required_index_at(
        input.m_samples, input.m_now + result.m_service);
    result.m_covers = index && member.m_applied >= *index;
    if (index && !result.m_covers)
    {
        result.m_covers_at =
            expected_cover_time(input, member, result.m_service);
    }
    return result;
}

} // namespace

read_router::read_router(std::unique_ptr<read_strategy> strategy,
                         read_router_limits limits)
    : m_strategy(std::move(strategy)),
      m_limits(limits)
{
}

read_choice read_router::route(read_input const& input) const
{
    if (input.m_requirement.m_deadline.expired(input.m_now))
    {
        return wait_or_refuse(input);
    }
    bool const primary_needed =
        input.m_primary_next ||
        input.m_requirement.m_source != read_requirement::source::any;
    if (primary_needed)
    {
        return primary_choice(input).value_or(wait_or_refuse(input));
    }
    auto const choice = m_strategy->choose(options_for(input));
    return choice.value_or(wait_or_refuse(input));
}

std::optional<read_choice>
read_router::primary_choice(read_input const& input) const
{
    for (std::size_t member_index = 0; member_index < input.m_members.size();
         ++member_index)
    {
        if (input.m_members[member_index].m_role == member_role::primary &&
            usable(input, member_index))
        {
            return read_choice{action::send, member_index, {}, {}};
        }
    }
    return std::nullopt;
}

read_options read_router::options_for(read_input const& input) const
{
    read_options result;
    result.m_now = input.m_now;
    result.m_random = spread(input.m_random);
    result.m_wait_until =
        std::min(input.m_requirement.m_arrival + m_limits.m_max_wait,
                 input.m_requirement.m_deadline.end());
    auto const count = std::min(input.m_members.size(), max_members);
    for (std::size_t member_index = 0; member_index < count; ++member_index)
    {
        auto const& member = input.m_members[member_index];
        if (!usable(input, member_index))
        {
            continue;
        }
        if (member.m_role == member_role::primary)
        {
            result.m_primary = candidate_for(input, member_index);
        }
        else if (member.m_role != member_role::unknown &&
                 sampled_by_share(member, member_index, input.m_random))
        {
            result.m_replicas.push_back(candidate_for(input, member_index));
        }
    }
    return result;
}

read_choice read_router::wait_or_refuse(read_input const& input) const
{
    using state::reason;
    auto const& end = input.m_requirement.m_deadline;
    if (!end.expired(input.m_now))
    {
        return {action::wait, 0,
                std::min(input.m_now + m_limits.m_retry_after, end.end()),
                reason::none};
    }
    bool const any_primary = std::ranges::any_of(
        input.m_members,
        [](member_view const& member) {
            return member.m_reachable && member.m_role == member_role::primary;
        });
    return {action::refuse,
            0,
            {},
            any_primary ? reason::deadline_exceeded : reason::no_primary};
}

} // namespace camphortide::coordination
