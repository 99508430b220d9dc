#pragma once

#include "group_simulation.hpp"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include <camphortide/coordination/group/group_monitor.hpp>
#include <camphortide/coordination/request/freshness.hpp>
#include <camphortide/coordination/request/log_tracker.hpp>

namespace camphortide::standin
{

/// Simulates an instance that is home of the group: its monitor, its messages
/// to the members, its view of the log and its freshness samples.
class explorer_home
{
public:
    /// Runs a statement at a member.
    using statement = std::function<statement_answer(member_model&)>;
    using answer_handler = std::function<void(statement_answer const&)>;

    explorer_home(group_simulation& simulation, std::size_t index);

    void tick();
    /// Simulates a restart: all state but the incarnation is lost.
    void restart();
    void request_switchover();
    void report_drained();

    /// Sends a statement. The reply, if it arrives, includes the member's
    /// status.
    void send_statement(std::size_t member, char const* name, statement run,
                        answer_handler on_answer);

    /// @return the primary's log as last reported to this home
    coordination::log_view const& log() const { return m_log->view(); }

    /// @return the freshness samples of this home
    coordination::freshness const& samples() const { return *m_samples; }

    coordination::group_monitor const& monitor() const { return *m_monitor; }
    std::size_t index() const { return m_index; }
    bool writes_paused() const { return m_writes_paused; }

private:
    void execute_all(coordination::group_actions const& actions);
    void execute(coordination::send_probe const& action);
    void execute(coordination::send_fence const& action);
    void execute(coordination::send_promote const& action);
    void execute(coordination::send_follow const& action);
    void execute(coordination::pause_writes const&);
    void execute(coordination::resume_writes const&);
    void execute(coordination::primary_changed const&) {}
    void execute(coordination::switchover_ended const&) {}
    void send_request(std::size_t member, char const* name,
                      std::function<void()> work, bool may_duplicate = true);
    void send_reply(std::size_t member, char const* name,
                    std::function<coordination::group_actions()> work,
                    bool may_duplicate = true);
    void note_status(state::member_status const& status);
    /// Records a status of the primary in the samples as if every other member
    /// had confirmed it.
    void note_for_all_members(state::member_status const& status);
    /// @return the status to record in the log tracker
    state::member_status log_status(state::member_status status) const;
    node_id self() const { return {node_id::kind::home, m_index}; }

    group_simulation& m_simulation;
    std::size_t m_index;
    std::uint64_t m_incarnation = 0;
    /// Incarnation that sent the request being processed; replies to an earlier
    /// incarnation are ignored.
    std::uint64_t m_request_incarnation = 0;
    std::optional<coordination::group_monitor> m_monitor;
    bool m_writes_paused = false;
    std::uint64_t m_last_probe = 0;
    std::optional<coordination::log_tracker> m_log;
    std::optional<coordination::freshness> m_samples;
};

} // namespace camphortide::standin
