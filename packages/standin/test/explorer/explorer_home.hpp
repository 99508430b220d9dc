#pragma once

#include "group_world.hpp"

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

/// An instance that is home for the group: its monitor, its messages to the
/// members, and what it knows of the log and of the age of data.
class explorer_home
{
public:
    /// A statement for a member.
    using statement = std::function<statement_answer(member_model&)>;
    using answer = std::function<void(statement_answer const&)>;

    explorer_home(group_world& world, std::size_t index);

    void tick();
    /// Ends the process and starts another one in its place.
    void restart();
    void request_switchover();
    void drain();

    /// Sends a statement; the reply, if it arrives, carries a status too.
    void run_statement(std::size_t member, char const* name, statement run,
                       answer replied);

    /// @return what this home knows of the primary's log
    coordination::log_view const& log() const { return m_log->view(); }

    /// @return what this home knows of the age of data
    coordination::freshness const& samples() const { return *m_samples; }

    coordination::group_monitor const& monitor() const { return *m_monitor; }
    std::size_t index() const { return m_index; }
    bool writes_paused() const { return m_writes_paused; }

private:
    void apply(coordination::group_actions const& actions);
    void act(coordination::send_probe const& action);
    void act(coordination::send_fence const& action);
    void act(coordination::send_promote const& action);
    void act(coordination::send_follow const& action);
    void act(coordination::pause_writes const&);
    void act(coordination::resume_writes const&);
    void act(coordination::primary_changed const&) {}
    void act(coordination::switchover_ended const&) {}
    void request(std::size_t member, char const* name,
                 std::function<void()> work, bool may_repeat = true);
    void reply(std::size_t member, char const* name,
               std::function<coordination::group_actions()> work,
               bool may_repeat = true);
    void note_status(state::member_status const& status);
    void note_as_majority(state::member_status const& status);
    state::member_status for_log(state::member_status status) const;
    party self() const { return {party::kind::home, m_index}; }

    group_world& m_world;
    std::size_t m_index;
    std::uint64_t m_generation = 0;
    std::uint64_t m_asking_generation = 0; ///< of the request being answered
    std::optional<coordination::group_monitor> m_monitor;
    bool m_writes_paused = false;
    std::uint64_t m_last_probe = 0;
    std::optional<coordination::log_tracker> m_log;
    std::optional<coordination::freshness> m_samples;
};

} // namespace camphortide::standin
