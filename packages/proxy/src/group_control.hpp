#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>

#include <camphortide/proxy/replacement_control.hpp>

namespace camphortide::proxy
{

/// What the holder of the duty keeps of one group.
struct replacement_control::group_control
{
    struct member_state
    {
        std::unique_ptr<member_monitor> m_monitor;
        std::optional<state::member_report> m_report;
        state::time_point m_asked;
    };

    coordination::replacement m_replacement;
    coordination::primary_watch m_watch;
    std::string m_watched; ///< the member that the watch is about
    std::uint64_t m_watched_revision = 0;
    std::map<std::string, member_state> m_members;
    std::map<std::string, coordination::closing_answer> m_answers;
    std::string m_avoid;
    state::time_point m_last_creation;
};

} // namespace camphortide::proxy
