#include <algorithm>
#include <cmath>

#include <camphortide/coordination/placing/start_pace.hpp>

namespace camphortide::coordination
{

namespace
{

/// The interval before any was seen, in milliseconds: about a statement's
/// work over a member's two slots.
constexpr double first_interval_ms = 8;

} // namespace

void start_pace::started(std::size_t waiting, state::time_point now)
{
    if (m_last)
    {
        m_interval.add(static_cast<double>((now - *m_last).count()));
    }
    if (waiting > 0)
    {
        m_last = now;
    }
    else
    {
        m_last.reset();
    }
}

state::duration start_pace::expected_wait(std::size_t ahead,
                                          state::time_point now) const
{
    double const interval = m_interval.value_or(first_interval_ms);
    double wait = interval * static_cast<double>(ahead);
    if (m_last)
    {
        // Nothing started for longer than usual: it may go on like that.
        auto const since = static_cast<double>((now - *m_last).count());
        wait = std::max(wait, since - interval);
    }
    return state::duration(std::llround(wait));
}

bool start_pace::in_time(std::size_t ahead, state::duration left,
                         state::duration service, state::time_point now) const
{
    return ahead == 0 || expected_wait(ahead, now) + service <= left;
}

} // namespace camphortide::coordination
