#include <algorithm>

#include <camphortide/coordination/fleet/home_reachability.hpp>

namespace camphortide::coordination
{

namespace
{

/// Backoff after the first failure of each kind: a process that ended starts
/// again within a second; a host that is silent usually stays so for seconds.
constexpr state::duration min_ended_backoff{50};
constexpr state::duration min_silent_backoff{500};
constexpr state::duration max_backoff{4000};

} // namespace

void home_reachability::failed(std::string const& instance,
                               link_failure failure, state::time_point now)
{
    auto& entry = m_failures[instance];
    entry.m_last = failure;
    auto const min_backoff = failure == link_failure::silent
                                 ? min_silent_backoff
                                 : min_ended_backoff;
    entry.m_backoff = std::clamp(entry.m_backoff * 2, min_backoff, max_backoff);
    entry.m_until = now + entry.m_backoff;
}

bool home_reachability::avoids(std::string const& instance,
                               state::time_point now) const
{
    auto const found = m_failures.find(instance);
    return found != m_failures.end() && now < found->second.m_until;
}

} // namespace camphortide::coordination
