#include <sstream>

#include <camphortide/load/trace/group_scenario.hpp>

namespace camphortide::load
{

namespace
{

using state::duration;

constexpr duration short_time{300};
constexpr duration failover_time{1000};
constexpr duration long_time{2000};

void write_initial_records(group_scenario& scenario)
{
    scenario.run_for(short_time);
    scenario.write(3);
    scenario.run_for(short_time);
}

void quiet(group_scenario& scenario)
{
    write_initial_records(scenario);
    scenario.run_for(short_time);
}

void primary_kill(group_scenario& scenario)
{
    write_initial_records(scenario);
    scenario.set_down("a", true);
    scenario.run_for(failover_time);
}

void primary_kill_twice(group_scenario& scenario)
{
    primary_kill(scenario);
    scenario.set_down("a", false);
    scenario.run_for(failover_time);
    scenario.set_down("b", true);
    scenario.run_for(failover_time);
}

void primary_partition(group_scenario& scenario)
{
    write_initial_records(scenario);
    scenario.isolate("a", true);
    scenario.write(2);
    scenario.run_for(long_time);
}

void primary_returns(group_scenario& scenario)
{
    primary_partition(scenario);
    scenario.isolate("a", false);
    scenario.run_for(failover_time);
}

void replica_behind(group_scenario& scenario)
{
    scenario.run_for(short_time);
    scenario.hold_records("b", true);
    scenario.write(5);
    scenario.run_for(short_time);
    scenario.set_down("a", true);
    scenario.run_for(failover_time);
}

void instance_cut_off(group_scenario& scenario)
{
    write_initial_records(scenario);
    scenario.cut_off("a", true);
    scenario.run_for(failover_time);
}

void instance_pause(group_scenario& scenario)
{
    write_initial_records(scenario);
    scenario.pause(failover_time);
    scenario.run_for(failover_time);
}

void majority_lost(group_scenario& scenario)
{
    write_initial_records(scenario);
    scenario.set_down("a", true);
    scenario.set_down("b", true);
    scenario.run_for(failover_time);
}

void rival_instance(group_scenario& scenario)
{
    write_initial_records(scenario);
    scenario.set_down("a", true);
    scenario.run_for(short_time);
    scenario.rival_fence("b");
    scenario.run_for(failover_time);
}

void planned_switchover(group_scenario& scenario)
{
    write_initial_records(scenario);
    scenario.switch_over("c");
    scenario.run_for(short_time);
}

void switchover_times_out(group_scenario& scenario)
{
    write_initial_records(scenario);
    scenario.hold_records("b", true);
    scenario.hold_records("c", true);
    scenario.write(2);
    scenario.run_for(short_time);
    scenario.switch_over("");
    scenario.run_for(long_time + short_time);
}

void primary_leaves(group_scenario& scenario)
{
    write_initial_records(scenario);
    scenario.set_leaving("a", true);
    scenario.run_for(failover_time);
}

} // namespace

std::vector<named_scenario> const& known_scenarios()
{
    static std::vector<named_scenario> const all{
        {"quiet", quiet},
        {"primary-kill", primary_kill},
        {"primary-kill-twice", primary_kill_twice},
        {"primary-partition", primary_partition},
        {"primary-returns", primary_returns},
        {"replica-behind", replica_behind},
        {"instance-cut-off", instance_cut_off},
        {"instance-pause", instance_pause},
        {"majority-lost", majority_lost},
        {"rival-instance", rival_instance},
        {"planned-switchover", planned_switchover},
        {"switchover-times-out", switchover_times_out},
        {"primary-leaves", primary_leaves}};
    return all;
}

std::string record_scenario(named_scenario const& scenario)
{
    std::ostringstream out;
    group_scenario played(std::string(scenario.m_name), out);
    scenario.m_run(played);
    played.finish();
    return out.str();
}

} // namespace camphortide::load
