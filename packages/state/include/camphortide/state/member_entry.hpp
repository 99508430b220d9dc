#pragma once

#include <compare>
#include <cstdint>
#include <string>

#include <camphortide/state/log_position.hpp>

namespace camphortide::state
{

/// What a member of a group says of itself in the platform's store.
struct member_entry
{
    std::string m_id;
    std::string m_group;
    std::string m_address; ///< host:port
    std::string m_data_centre;
    std::uint32_t m_slots = 1;
    bool m_leaving = false;
    bool m_claims_primary = false;
    std::int64_t m_start_time =
        0; ///< Unix milliseconds of its start; 0: not said

    friend auto operator<=>(member_entry const&, member_entry const&) = default;
};

/// A member's own answer about its log.
struct member_report
{
    bool m_primary = false;
    std::uint64_t m_term = 0;
    log_position m_received;             ///< last record that it holds
    std::uint64_t m_suspension_term = 0; ///< term that it was suspended for
    std::int64_t m_lag_ms = 0;
    std::uint32_t m_busy = 0;
    std::uint32_t m_connections = 0;

    friend auto operator<=>(member_report const&,
                            member_report const&) = default;
};

} // namespace camphortide::state
