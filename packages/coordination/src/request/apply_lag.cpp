#include <algorithm>
#include <cmath>

#include <camphortide/coordination/request/apply_lag.hpp>

namespace camphortide::coordination
{

namespace
{

/// Weight of a new report in the moving mean.
constexpr double gain = 0.1;

} // namespace

void apply_lag::note_applied(std::uint64_t index, freshness const& samples,
                             state::time_point now)
{
    auto const seen = samples.first_seen(index);
    if (!seen || index == m_last)
    {
        return;
    }
    m_last = index;
    auto const lag = static_cast<double>(
        std::max(state::duration::zero(), now - *seen).count());
    m_mean = m_known ? m_mean + gain * (lag - m_mean) : lag;
    m_known = true;
}

state::duration apply_lag::expected() const
{
    return state::duration(std::llround(m_mean));
}

} // namespace camphortide::coordination
