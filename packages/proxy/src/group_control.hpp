#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>

#include <camphortide/proxy/replacement_control.hpp>

namespace camphortide::proxy
{

/// Interval between the report requests to a replica, whose report matters only
/// when it changes.
inline constexpr state::duration replica_interval{1500};

/// State of one group that the holder of the duty keeps.
struct replacement_control::group_control
{
    struct member_state
    {
        std::unique_ptr<member_monitor> m_monitor;
        std::optional<state::member_report> m_report;
        /// When the report was requested.
        state::time_point m_requested_at;
    };

    explicit group_control(coordination::replacement_settings const& settings)
        : m_replacement(settings)
    {
    }

    coordination::replacement m_replacement;
    coordination::primary_watch m_watch;
    /// The member that m_watch observes.
    std::string m_watched_member;
    state::store_revision m_watched_revision;
    std::map<std::string, member_state> m_members;
    /// By instance name.
    std::map<std::string, coordination::closing_answer> m_answers;
    /// A member that other instances can't reach.
    std::string m_avoid;
    state::time_point m_last_creation;
    /// Why no primary can be chosen, as last logged.
    coordination::choice_obstacle m_obstacle =
        coordination::choice_obstacle::none;
};

} // namespace camphortide::proxy
