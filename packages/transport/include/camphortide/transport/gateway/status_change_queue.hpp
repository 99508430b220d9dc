#pragma once

#include <cstddef>
#include <vector>

#include <camphortide/state/member_status.hpp>

namespace camphortide::transport
{

/// Collects the members' statuses that must be reported to the control thread.
/// Guarded by the gateway's mutex.
class status_change_queue
{
public:
    explicit status_change_queue(std::size_t members) : m_last_reported(members)
    {
    }

    /// Records a status, and queues it if it is relevant to a change of the
    /// primary.
    void note(std::size_t member, state::member_status const& status);

    /// @return the statuses queued since the last call
    std::vector<state::member_status> take();

private:
    std::vector<state::member_status> m_last_reported;
    std::vector<state::member_status> m_pending;
};

} // namespace camphortide::transport
