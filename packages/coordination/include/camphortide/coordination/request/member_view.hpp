#pragma once

#include <compare>
#include <cstdint>

#include <camphortide/state/member_status.hpp>

namespace camphortide::coordination
{

/// The data on a member that read routing uses.
struct member_view
{
    state::member_role m_role = state::member_role::unknown;
    std::uint64_t m_applied = 0; ///< last reported applied index
    state::duration m_lag{};     ///< expected replication lag until applied
    state::duration m_latency{}; ///< expected time of a read without queueing
    /// Outstanding reads and writes of this home.
    std::uint32_t m_outstanding = 0;
    /// Connections that can be acquired now.
    std::uint32_t m_free_connections = 0;
    std::uint32_t m_slots = 1; ///< statements that it runs concurrently
    double m_share = 1.0;      ///< fraction of its usual work; 0: ejected
    bool m_reachable = true;
    bool m_leaving = false;

    friend auto operator<=>(member_view const&, member_view const&) = default;
};

} // namespace camphortide::coordination
