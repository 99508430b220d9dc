#pragma once

#include <compare>
#include <cstdint>
#include <string>

#include <camphortide/state/log_position.hpp>

namespace camphortide::state
{

/// A group member's own registration in the platform's store.
struct member_entry
{
    std::string m_id;
    std::string m_group;
    std::string m_address; ///< HOST:PORT
    std::string m_data_centre;
    std::uint32_t m_slots = 1;
    bool m_leaving = false;
    bool m_claims_primary = false;
    std::int64_t m_start_time = 0; ///< Unix milliseconds; 0: not given

    friend auto operator<=>(member_entry const&, member_entry const&) = default;
};

/// Status that a member reports when it is queried.
struct member_report
{
    bool m_primary = false;
    std::uint64_t m_term = 0;
    log_position m_received;             ///< last record in its log
    std::uint64_t m_suspension_term = 0; ///< term of its suspension
    std::int64_t m_lag_ms = 0;
    std::uint32_t m_busy = 0;
    std::uint32_t m_connections = 0;

    friend auto operator<=>(member_report const&,
                            member_report const&) = default;
};

} // namespace camphortide::state
