#pragma once

#include <compare>
#include <deque>

#include <camphortide/state/clock.hpp>

namespace camphortide::coordination
{

/// Parameters of a probe schedule.
struct probe_schedule_limits
{
    state::duration m_window{5000}; ///< how long an allowed age has an effect
    std::int64_t m_probes_per_age = 4;

    friend auto operator<=>(probe_schedule_limits const&,
                            probe_schedule_limits const&) = default;
};

/// Computes how often the members of a group have to be probed for the answer
/// ages that its requests allow: the smallest of them spans several probes. Not
/// thread-safe.
class probe_schedule
{
public:
    explicit probe_schedule(probe_schedule_limits limits = {})
        : m_limits(limits)
    {
    }

    /// Records the age that a request allows for its answer.
    void note_allowed_age(state::duration age, state::time_point now);

    /// @return the required time between two probes; duration::max() if no
    ///     recent request allows an age
    state::duration interval(state::time_point now);

private:
    struct allowed_age
    {
        state::duration m_age;
        state::time_point m_until;
    };

    probe_schedule_limits m_limits;
    /// Ascending in age and in expiry time.
    std::deque<allowed_age> m_allowed_ages;
};

} // namespace camphortide::coordination
