#include <algorithm>
#include <cmath>

#include <camphortide/coordination/placing/dispatch_rate.hpp>

namespace camphortide::coordination
{

namespace
{

/// Assumed interval before the first measurement, in milliseconds: about the
/// time that a statement takes divided by a member's two slots.
constexpr double initial_interval_ms = 8;

} // namespace

void dispatch_rate::note_dispatch(std::size_t waiting, state::time_point now)
{
    if (m_last_dispatch)
    {
        m_mean_interval.add(
            static_cast<double>((now - *m_last_dispatch).count()));
        m_measured = true;
    }
    if (waiting > 0)
    {
        m_last_dispatch = now;
    }
    else
    {
        m_last_dispatch.reset();
    }
}

double dispatch_rate::interval_ms() const
{
    return m_mean_interval.value_or(initial_interval_ms);
}

state::duration dispatch_rate::overdue(state::time_point now) const
{
    if (!m_last_dispatch)
    {
        return {};
    }
    auto const since = static_cast<double>((now - *m_last_dispatch).count());
    return state::duration(std::llround(std::max(since - interval_ms(), 0.0)));
}

state::duration dispatch_rate::expected_wait(std::size_t ahead,
                                             state::time_point now) const
{
    // No dispatch for longer than usual: this may continue.
    double const wait = interval_ms() * static_cast<double>(ahead);
    return std::max(state::duration(std::llround(wait)), overdue(now));
}

bool dispatch_rate::meets_deadline(std::size_t ahead, state::duration left,
                                   state::duration service,
                                   state::time_point now) const
{
    return ahead == 0 || expected_wait(ahead, now) + service <= left;
}

std::vector<std::size_t>
dispatch_rate::hopeless(std::span<state::duration const> left,
                        state::duration service, state::time_point now) const
{
    std::vector<std::size_t> result;
    std::size_t ahead = 0;
    for (std::size_t index = 0; m_measured && index < left.size(); ++index)
    {
        if (meets_deadline(ahead, left[index], service, now))
        {
            ++ahead;
        }
        else
        {
            result.push_back(index);
        }
    }
    return result;
}

} // namespace camphortide::coordination
