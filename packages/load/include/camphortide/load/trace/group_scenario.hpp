#pragma once

#include <functional>
#include <map>
#include <ostream>
#include <set>
#include <string>
#include <vector>

#include <camphortide/load/trace/trace_recorder.hpp>
#include <camphortide/standin/member_model.hpp>

namespace camphortide::load
{

/// Simulates one group monitor and the models of three members on a virtual
/// clock, and records a trace. The same scenario gives the same trace.
class group_scenario
{
public:
    /// @param name name of the trace
    /// @param to receives the trace; outlives this
    group_scenario(std::string name, std::ostream& to);

    /// Advances the clock.
    /// @param time milliseconds
    void run_for(state::duration time);

    /// Writes records at the primary, if there is one.
    void write(int count);

    /// Stops a member, or restarts it.
    void set_down(std::string const& member, bool down);

    /// Disconnects a member from the other members, or reconnects it.
    void isolate(std::string const& member, bool isolated);

    /// Disconnects the instance from a member, or reconnects it.
    void cut_off(std::string const& member, bool cut);

    /// Withholds records from a member, while it still receives the heartbeats
    /// of its primary.
    void hold_records(std::string const& member, bool held);

    /// Marks a member as leaving.
    void set_leaving(std::string const& member, bool leaving);

    /// Pauses the instance while time advances for the members.
    /// @param time milliseconds
    void pause(state::duration time);

    /// Lets a rival instance fence a member with a higher term.
    void rival_fence(std::string const& member);

    /// Requests a planned switchover.
    /// @param target the new primary; empty: any replica
    void switch_over(std::string const& target);

    /// Writes the outcome, which ends the trace.
    void finish();

private:
    struct simulated_member
    {
        standin::member_model m_model;
        state::time_point m_last_heard{};
        bool m_down = false;
        bool m_isolated = false;
        bool m_cut_off = false;
        bool m_held = false;
        bool m_leaving = false;
    };

    using task = std::function<void()>;

    void run_after(state::duration delay, task run);
    void advance();
    void replicate();
    void replicate(simulated_member& from, simulated_member& to);
    void feed(monitor_input const& input);
    state::member_status status_of(simulated_member const& of,
                                   std::uint64_t probe) const;
    void call(std::string const& name,
              std::function<void(simulated_member&)> run);

    void perform(coordination::send_probe const& action);
    void perform(coordination::send_fence const& action);
    void perform(coordination::send_promote const& action);
    void perform(coordination::send_follow const& action);
    void perform(coordination::pause_writes const& action);
    void perform(coordination::primary_changed const&) {}
    void perform(coordination::resume_writes const&) {}
    void perform(coordination::switchover_ended const&) {}

    std::map<std::string, simulated_member> m_members;
    std::multimap<state::time_point, task> m_tasks;
    state::time_point m_now;
    bool m_paused = false;
    coordination::group_monitor m_monitor;
    trace_recorder m_recorder;
};

/// A scenario with its name.
struct named_scenario
{
    std::string_view m_name;
    void (*m_run)(group_scenario& scenario);
};

/// @return the scenarios of all known kinds of failure
std::vector<named_scenario> const& known_scenarios();

/// Runs a scenario and records it.
/// @return the trace
std::string record_scenario(named_scenario const& scenario);

} // namespace camphortide::load
