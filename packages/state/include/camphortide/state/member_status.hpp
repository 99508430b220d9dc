#pragma once

#include <compare>
#include <cstdint>
#include <string>

#include <camphortide/state/clock.hpp>
#include <camphortide/state/term_history.hpp>

namespace camphortide::state
{

/// The part that a member plays in its database group.
enum class member_role
{
    unknown,
    primary,
    replica,
    fenced
};

/// What a member of a database group reports of itself.
struct member_status
{
    std::string m_member;
    member_role m_role = member_role::unknown;
    term m_granted;          ///< highest term granted
    term m_followed;         ///< term of the primary it is or follows
    log_position m_received; ///< last record in its log
    log_position m_applied;  ///< last record that reads can see
    term_history m_history;
    duration m_primary_silence{}; ///< since it last heard from its primary
    bool m_leaving = false;
    std::uint32_t m_connections = 0;
    std::uint32_t m_connection_limit = 0;
    std::uint32_t m_slots = 0;
    std::uint64_t m_probe = 0; ///< highest probe answered on this stream

    friend auto operator<=>(member_status const&,
                            member_status const&) = default;
};

} // namespace camphortide::state
