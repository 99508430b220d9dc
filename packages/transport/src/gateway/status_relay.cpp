#include <utility>

#include <camphortide/transport/gateway/status_relay.hpp>

namespace camphortide::transport
{

namespace
{

bool matters(state::member_status const& before,
             state::member_status const& after)
{
    return before.m_probe < after.m_probe || before.m_role != after.m_role ||
           before.m_granted != after.m_granted ||
           before.m_followed != after.m_followed ||
           before.m_leaving != after.m_leaving;
}

} // namespace

void status_relay::note(std::size_t member, state::member_status const& status)
{
    if (!matters(m_told[member], status))
    {
        return;
    }
    m_told[member] = status;
    m_to_tell.push_back(status);
}

std::vector<state::member_status> status_relay::take()
{
    return std::exchange(m_to_tell, {});
}

} // namespace camphortide::transport
