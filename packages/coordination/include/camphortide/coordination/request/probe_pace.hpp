#pragma once

#include <compare>
#include <deque>

#include <camphortide/state/clock.hpp>

namespace camphortide::coordination
{

/// The times that a probe_pace goes by.
struct probe_pace_limits
{
    state::duration m_window{5000}; ///< how long an age asked for counts
    std::int64_t m_probes_in_age = 4;

    friend auto operator<=>(probe_pace_limits const&,
                            probe_pace_limits const&) = default;
};

/// Works out how often a group's members have to be probed for the ages that
/// its requests allow: the smallest of them spans several probes. Not
/// thread-safe.
class probe_pace
{
public:
    explicit probe_pace(probe_pace_limits limits = {}) : m_limits(limits) {}

    /// Takes in the age that a request allows for its answer.
    void note_age(state::duration age, state::time_point now);

    /// @return the time wanted between two probes; duration::max() if no
    ///     recent request allows an age
    state::duration interval(state::time_point now);

private:
    struct asked_age
    {
        state::duration m_age;
        state::time_point m_until;
    };

    probe_pace_limits m_limits;
    std::deque<asked_age> m_asked; ///< rising in age and in time
};

} // namespace camphortide::coordination
