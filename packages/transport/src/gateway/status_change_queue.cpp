#include <utility>

#include <camphortide/transport/gateway/status_change_queue.hpp>

namespace camphortide::transport
{

namespace
{

bool is_relevant_change(state::member_status const& before,
                        state::member_status const& after)
{
    return before.m_probe < after.m_probe || before.m_role != after.m_role ||
           before.m_granted != after.m_granted ||
           before.m_followed != after.m_followed ||
           before.m_leaving != after.m_leaving;
}

} // namespace

void status_change_queue::note(std::size_t member,
                               state::member_status const& status)
{
    if (!is_relevant_change(m_last_reported[member], status))
    {
        return;
    }
    m_last_reported[member] = status;
    m_pending.push_back(status);
}

std::vector<state::member_status> status_change_queue::take()
{
    return std::exchange(m_pending, {});
}

} // namespace camphortide::transport
