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

/// One group monitor over the models of three members, on a clock of its own,
/// recorded as a trace. The same scenario gives the same trace.
class group_scenario
{
public:
    /// @param name what the trace shows
    /// @param to where the trace goes; outlives this
    group_scenario(std::string name, std::ostream& to);

    /// Lets time pass.
    void run_for(state::duration time);

    /// Writes records at the primary, if there is one.
    void write(int count);

    /// Ends a member, or starts it again.
    void set_down(std::string const& member, bool down);

    /// Cuts a member off from the other members.
    void isolate(std::string const& member, bool isolated);

    /// Cuts the instance off from a member.
    void cut_off(std::string const& member, bool cut);

    /// Stops what a member receives from its primary, while it still hears it.
    void hold_records(std::string const& member, bool held);

    /// Marks a member as leaving.
    void set_leaving(std::string const& member, bool leaving);

    /// Stops the instance, while time passes for the members.
    void pause(state::duration time);

    /// Lets another instance take a term of a member.
    void rival_fence(std::string const& member);

    /// Asks for a planned change of primary.
    void switch_over(std::string const& target);

    /// Ends the trace with its outcome.
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

/// A scenario that can be recorded by name.
struct named_scenario
{
    std::string_view m_name;
    void (*m_run)(group_scenario& scenario);
};

/// @return the scenes of the failures that the project knows
std::vector<named_scenario> const& known_scenarios();

/// Records a scenario.
/// @return the trace
std::string record_scenario(named_scenario const& scenario);

} // namespace camphortide::load
