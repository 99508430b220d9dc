#include <camphortide/coordination/request/accept_read.hpp>

namespace camphortide::coordination
{

namespace
{

using state::reason;

/// Above the safe index, the view may be that of a superseded primary whose log
/// lacks records that a later primary made safe.
bool token_is_invalid(read_requirement const& requirement, log_view const& log)
{
    return requirement.m_covered &&
           requirement.m_covered->m_index <= log.m_safe &&
           status_in_log(*requirement.m_covered, log) ==
               position_status::absent;
}

/// A later probe finds the log of the primary at its last index or beyond, so
/// an answer below the latest sample remains too old.
read_check_result too_old(state::log_position const& answer,
                          freshness const& samples)
{
    auto const latest = samples.latest();
    bool const final = latest && answer.m_index < latest->m_index;
    return {final ? read_decision::retry : read_decision::hold,
            reason::too_old,
            {}};
}

} // namespace

read_check_result accept_read(state::log_position const& answer,
                              read_requirement const& requirement,
                              log_view const& log, freshness const& samples,
                              state::time_point now)
{
    if (requirement.m_deadline.expired(now))
    {
        return {read_decision::drop, reason::deadline_exceeded, {}};
    }
    if (token_is_invalid(requirement, log))
    {
        return {read_decision::drop, reason::bad_token, {}};
    }
    auto const status = status_in_log(answer, log);
    if (status == position_status::absent)
    {
        return {read_decision::retry, reason::term_superseded, {}};
    }
    if (answer.m_index < requirement.covered_index())
    {
        return {read_decision::retry, reason::no_replica, {}};
    }
    if (status == position_status::pending)
    {
        return {read_decision::hold, reason::none, {}};
    }
    auto const current = samples.as_of(answer.m_index);
    auto const age =
        current ? std::optional(requirement.age_at_delivery(*current, now))
                : std::nullopt;
    auto const required_time = requirement.required_as_of(now);
    if (required_time && (!current || *current < *required_time))
    {
        return too_old(answer, samples);
    }
    return {read_decision::release, reason::none, age};
}

} // namespace camphortide::coordination
