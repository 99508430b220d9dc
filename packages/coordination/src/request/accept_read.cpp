#include <camphortide/coordination/request/accept_read.hpp>

namespace camphortide::coordination
{

namespace
{

using state::reason;

/// Beyond the safe index the view may be that of a superseded primary, whose
/// log lacks what a later one made safe.
bool token_is_invalid(read_requirement const& needed, log_view const& log)
{
    return needed.m_covered && needed.m_covered->m_index <= log.m_safe &&
           standing_of(*needed.m_covered, log) == log_standing::absent;
}

/// A later probe can only find the primary's log at its last index or
/// beyond, so that an answer below the newest sample stays too old.
read_acceptance too_old(state::log_position const& answer,
                        freshness const& samples)
{
    auto const latest = samples.latest();
    bool const final = latest && answer.m_index < latest->m_index;
    return {
        final ? read_verdict::retry : read_verdict::hold, reason::too_old, {}};
}

} // namespace

read_acceptance accept_read(state::log_position const& answer,
                            read_requirement const& needed, log_view const& log,
                            freshness const& samples, state::time_point now)
{
    if (needed.m_deadline.expired(now))
    {
        return {read_verdict::drop, reason::deadline_exceeded, {}};
    }
    if (token_is_invalid(needed, log))
    {
        return {read_verdict::drop, reason::bad_token, {}};
    }
    auto const standing = standing_of(answer, log);
    if (standing == log_standing::absent)
    {
        return {read_verdict::retry, reason::term_superseded, {}};
    }
    if (answer.m_index < needed.covered_index())
    {
        return {read_verdict::retry, reason::no_replica, {}};
    }
    if (standing == log_standing::pending)
    {
        return {read_verdict::hold, reason::none, {}};
    }
    auto const current = samples.as_of(answer.m_index);
    auto const age = current
                         ? std::optional(needed.age_on_arrival(*current, now))
                         : std::nullopt;
    auto const needed_time = needed.current_to(now);
    if (needed_time && (!current || *current < *needed_time))
    {
        return too_old(answer, samples);
    }
    return {read_verdict::release, reason::none, age};
}

} // namespace camphortide::coordination
