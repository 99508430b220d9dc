#pragma once

#include <compare>
#include <cstdint>

#include <camphortide/state/member_status.hpp>

namespace camphortide::coordination
{

/// What read routing knows of a member of the group.
struct member_view
{
    state::member_role m_role = state::member_role::unknown;
    std::uint64_t m_applied = 0; ///< last known applied index
    state::duration m_lag{};     ///< expected time from primary to applied
    state::duration m_latency{}; ///< expected time of a read without a queue
    std::uint32_t m_outstanding = 0;      ///< reads and writes of this home
    std::uint32_t m_free_connections = 0; ///< that could be acquired now
    std::uint32_t m_slots = 1;            ///< statements it runs at a time
    double m_share = 1.0; ///< of its usual work, by its health; 0: ejected
    bool m_reachable = true;
    bool m_leaving = false;

    friend auto operator<=>(member_view const&, member_view const&) = default;
};

} // namespace camphortide::coordination
