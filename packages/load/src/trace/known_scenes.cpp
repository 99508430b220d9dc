#include <sstream>

#include <camphortide/load/trace/group_scene.hpp>

namespace camphortide::load
{

namespace
{

using state::duration;

constexpr duration start{300};
constexpr duration until_failover{1000};
constexpr duration long_time{2000};

void begin(group_scene& scene)
{
    scene.run(start);
    scene.write(3);
    scene.run(start);
}

void quiet(group_scene& scene)
{
    begin(scene);
    scene.run(start);
}

void primary_kill(group_scene& scene)
{
    begin(scene);
    scene.set_down("a", true);
    scene.run(until_failover);
}

void primary_kill_twice(group_scene& scene)
{
    primary_kill(scene);
    scene.set_down("a", false);
    scene.run(until_failover);
    scene.set_down("b", true);
    scene.run(until_failover);
}

void primary_partition(group_scene& scene)
{
    begin(scene);
    scene.isolate("a", true);
    scene.write(2);
    scene.run(long_time);
}

void primary_returns(group_scene& scene)
{
    primary_partition(scene);
    scene.isolate("a", false);
    scene.run(until_failover);
}

void replica_behind(group_scene& scene)
{
    scene.run(start);
    scene.hold_records("b", true);
    scene.write(5);
    scene.run(start);
    scene.set_down("a", true);
    scene.run(until_failover);
}

void instance_cut_off(group_scene& scene)
{
    begin(scene);
    scene.cut_off("a", true);
    scene.run(until_failover);
}

void instance_pause(group_scene& scene)
{
    begin(scene);
    scene.pause(until_failover);
    scene.run(until_failover);
}

void majority_lost(group_scene& scene)
{
    begin(scene);
    scene.set_down("a", true);
    scene.set_down("b", true);
    scene.run(until_failover);
}

void rival_instance(group_scene& scene)
{
    begin(scene);
    scene.set_down("a", true);
    scene.run(start);
    scene.rival_fence("b");
    scene.run(until_failover);
}

void planned_switchover(group_scene& scene)
{
    begin(scene);
    scene.switch_over("c");
    scene.run(start);
}

void switchover_times_out(group_scene& scene)
{
    begin(scene);
    scene.hold_records("b", true);
    scene.hold_records("c", true);
    scene.write(2);
    scene.run(start);
    scene.switch_over("");
    scene.run(long_time + start);
}

void primary_leaves(group_scene& scene)
{
    begin(scene);
    scene.set_leaving("a", true);
    scene.run(until_failover);
}

} // namespace

std::vector<named_scene> const& known_scenes()
{
    static std::vector<named_scene> const all{
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

std::string record_scene(named_scene const& scene)
{
    std::ostringstream out;
    group_scene played(std::string(scene.m_name), out);
    scene.m_play(played);
    played.finish();
    return out.str();
}

} // namespace camphortide::load
