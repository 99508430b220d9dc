#pragma once

#include <compare>
#include <cstdint>
#include <string>

#include <camphortide/state/clock.hpp>
#include <camphortide/state/term_history.hpp>

namespace camphortide::state
{

/// Role of a member in its database group.
enum class member_role
{
    unknown,
    primary,
    replica,
    fenced
};

/// Status that a member of a database group reports about itself.
struct member_status
{
    std::string m_member;
    member_role m_role = member_role::unknown;
    term m_granted;          ///< highest term that it has granted
    term m_followed;         ///< term that it leads or follows
    log_position m_received; ///< last record in its log
    log_position m_applied;  ///< last record visible to reads
    term_history m_history;
    duration m_primary_silence{}; ///< since the last message from its primary
    bool m_leaving = false;
    std::uint32_t m_connections = 0;
    std::uint32_t m_connection_limit = 0;
    std::uint32_t m_slots = 0;
    std::uint64_t m_probe = 0; ///< highest probe number answered on this stream

    friend auto operator<=>(member_status const&,
                            member_status const&) = default;
};

} // namespace camphortide::state
