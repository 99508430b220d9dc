#include "membership_fleet.hpp"

#include <doctest/doctest.h>

namespace state = camphortide::state;
using camphortide::coordination::heartbeat;
using camphortide::coordination::heartbeat_kind;
using camphortide::state::duration;
using camphortide::state::instance_state;

namespace
{

std::set<std::size_t> range(std::size_t first, std::size_t last)
{
    std::set<std::size_t> result;
    for (std::size_t index = first; index < last; ++index)
    {
        result.insert(index);
    }
    return result;
}

constexpr duration settling_time{20'000};
constexpr duration detection{8'000};

} // namespace

TEST_CASE("instances with one common seed find each other")
{
    membership_fleet fleet;
    fleet.start_all(20);
    fleet.run(settling_time);
    CHECK(fleet.all_see(range(0, 20), range(0, 20), instance_state::live));
    CHECK(fleet.at(7).joined());
}

TEST_CASE("without faults the view does not change")
{
    membership_fleet fleet;
    fleet.start_all(12);
    fleet.run(settling_time);
    auto const before = fleet.at(3).revision();
    fleet.run(duration(120'000));
    CHECK(fleet.at(3).revision() == before);
}

TEST_CASE("a dead instance is gone in every view in time")
{
    membership_fleet fleet;
    fleet.start_all(20);
    fleet.run(settling_time);
    fleet.kill(4);
    fleet.run(detection);
    auto others = range(0, 20);
    others.erase(4);
    CHECK(fleet.all_see(others, {4}, instance_state::gone));
    CHECK(fleet.all_see(others, others, instance_state::live));
}

TEST_CASE("an instance can find out the version of the catalogue of every peer")
{
    constexpr std::size_t count = 40;
    constexpr std::size_t behind = 7;
    membership_fleet fleet;
    fleet.start_all(count);
    fleet.run(settling_time);
    auto const set_version = [&fleet](std::size_t index, std::uint64_t version)
    {
        fleet.at(index).set_held_versions({version, 0, duration(0)});
    };
    for (std::size_t index = 0; index < count; ++index)
    {
        set_version(index, index == behind ? 4 : 5);
    }
    auto const probe_peers = [&fleet]
    {
        for (int i = 0; i < 30; ++i)
        {
            fleet.send(fleet.name(0), fleet.at(0).probe_versions());
            fleet.run(duration(100));
        }
    };
    auto const seen = [&fleet](std::size_t index)
    {
        return fleet.at(0).find(fleet.name(index))->m_catalogue;
    };
    probe_peers();
    for (std::size_t index = 1; index < count; ++index)
    {
        CHECK(seen(index) == (index == behind ? 4 : 5));
    }
    set_version(behind, 5);
    probe_peers();
    CHECK(seen(behind) == 5);
}

TEST_CASE("the version of a restarted instance is unknown until it sends one")
{
    membership_fleet fleet;
    fleet.start_all(2);
    fleet.run(settling_time);
    fleet.at(0).set_held_versions({5, 0, duration(0)});
    fleet.at(1).set_held_versions({5, 0, duration(0)});
    fleet.run(settling_time);
    CHECK(fleet.at(0).find(fleet.name(1))->m_catalogue == 5);
    fleet.kill(1);
    fleet.start(1);
    fleet.run(settling_time);
    CHECK(fleet.at(0).find(fleet.name(1))->m_catalogue == 0);
}

TEST_CASE("version probes are limited in each interval")
{
    constexpr std::size_t count = 60;
    membership_fleet fleet;
    fleet.start_all(count);
    fleet.run(settling_time);
    fleet.at(0).set_held_versions({5, 0, duration(0)});
    auto const first = fleet.at(0).probe_versions();
    CHECK(
        first.size() <=
        camphortide::coordination::membership_settings().m_max_version_probes);
    CHECK(fleet.at(0).probe_versions().empty());
    fleet.run(duration(1'100));
    auto const second = fleet.at(0).probe_versions();
    CHECK(!second.empty());
    CHECK(second.front().m_name != first.front().m_name);
}

TEST_CASE("an announced leave spreads at once and is never reverted")
{
    membership_fleet fleet;
    fleet.start_all(20);
    fleet.run(settling_time);
    fleet.send("instance-5", fleet.at(5).leave(fleet.now()));
    fleet.run(duration(2'000));
    CHECK(fleet.all_see(range(0, 20), {5}, instance_state::leaving));
    fleet.run(settling_time); // it still answers probes
    CHECK(fleet.all_see(range(0, 20), {5}, instance_state::leaving));
    fleet.kill(5);
    fleet.run(settling_time);
    auto others = range(0, 20);
    others.erase(5);
    CHECK(fleet.all_see(others, {5}, instance_state::leaving));
}

TEST_CASE("a paused instance is gone, and sees the others as live when it "
          "resumes")
{
    membership_fleet fleet;
    fleet.start_all(20);
    fleet.run(settling_time);
    fleet.pause(6);
    fleet.run(duration(30'000));
    CHECK(fleet.all_see({0, 1, 2}, {6}, instance_state::gone));
    fleet.resume(6);
    fleet.run(membership_fleet::step);
    auto others = range(0, 20);
    others.erase(6);
    CHECK(fleet.all_see({6}, others, instance_state::live));
    fleet.run(settling_time);
    CHECK(fleet.all_see(range(0, 20), range(0, 20), instance_state::live));
}

TEST_CASE("an instance refutes the suspicion after a short pause")
{
    membership_fleet fleet;
    fleet.start_all(20);
    fleet.run(settling_time);
    fleet.pause(6);
    fleet.run(duration(3'500)); // suspected, not yet gone
    fleet.resume(6);
    fleet.run(duration(5'000));
    CHECK(fleet.all_see(range(0, 20), range(0, 20), instance_state::live));
}

TEST_CASE("both sides of a partition keep their members and find each other "
          "afterwards")
{
    membership_fleet fleet;
    fleet.start_all(20);
    fleet.run(settling_time);
    auto const left = range(0, 10);
    auto const right = range(10, 20);
    auto const is_left = [](std::string const& name)
    {
        return name.size() == std::string("instance-0").size();
    };
    fleet.cut([&](std::string const& from, std::string const& to)
              { return is_left(from) != is_left(to); });
    fleet.run(duration(180'000));
    CHECK(fleet.all_see(left, left, instance_state::live));
    CHECK(fleet.all_see(right, right, instance_state::live));
    CHECK(fleet.all_see(left, right, instance_state::gone));
    CHECK(fleet.all_see(right, left, instance_state::gone));
    fleet.cut({});
    fleet.run(duration(30'000));
    CHECK(fleet.all_see(range(0, 20), range(0, 20), instance_state::live));
}

TEST_CASE("a failed link between two instances makes neither gone")
{
    membership_fleet fleet;
    fleet.start_all(12);
    fleet.run(settling_time);
    fleet.cut(
        [](std::string const& from, std::string const& to)
        {
            return (from == "instance-1" && to == "instance-2") ||
                   (from == "instance-2" && to == "instance-1");
        });
    for (int second = 0; second < 120; ++second)
    {
        fleet.run(duration(1'000));
        CHECK(fleet.seen(5, 1) != instance_state::gone);
        CHECK(fleet.seen(5, 2) != instance_state::gone);
    }
}

TEST_CASE("an instance that joins during a partition is live on the other "
          "side after it")
{
    membership_fleet fleet;
    fleet.start_all(10);
    fleet.run(settling_time);
    fleet.cut([](std::string const& from, std::string const& to)
              { return (from == "instance-9") != (to == "instance-9"); });
    fleet.run(settling_time);
    fleet.start(11, 3);
    fleet.run(settling_time);
    CHECK(fleet.all_see(range(0, 9), {11}, instance_state::live));
    fleet.cut({});
    fleet.run(settling_time);
    CHECK(fleet.all_see({9}, {11}, instance_state::live));
}

TEST_CASE("an instance that replaces one of the same name is live")
{
    membership_fleet fleet;
    fleet.start_all(10);
    fleet.run(settling_time);
    fleet.send("instance-4", fleet.at(4).leave(fleet.now()));
    fleet.run(duration(2'000));
    fleet.kill(4);
    fleet.start(4);
    fleet.run(duration(5'000));
    CHECK(fleet.all_see(range(0, 10), range(0, 10), instance_state::live));
}

TEST_CASE("the platform's list adds candidates and leaving marks, but removes "
          "no instance")
{
    membership_fleet fleet;
    fleet.start_all(4);
    fleet.start(8, 8); // has no seeds
    fleet.run(settling_time);
    CHECK(fleet.seen(8, 1) == instance_state::gone);
    state::instance_record listed;
    listed.m_name = "instance-1";
    listed.m_address = "instance-1";
    fleet.at(8).on_platform_list(std::vector{listed}, fleet.now());
    fleet.run(settling_time);
    CHECK(fleet.all_see(range(0, 4), {8}, instance_state::live));
    CHECK(fleet.all_see({8}, range(0, 4), instance_state::live));
    listed.m_state = instance_state::leaving;
    fleet.at(8).on_platform_list(std::vector{listed}, fleet.now());
    CHECK(fleet.seen(8, 1) == instance_state::leaving);
    fleet.at(1).on_platform_list(std::vector{listed}, fleet.now());
    CHECK(fleet.at(1).is_marked_leaving());
    fleet.at(8).on_platform_list({}, fleet.now());
    CHECK(fleet.seen(8, 1) == instance_state::live);
}

TEST_CASE("the size of every heartbeat except a welcome is limited")
{
    membership_fleet fleet;
    fleet.start_all(60);
    fleet.run(settling_time);
    camphortide::coordination::membership_settings const settings;
    heartbeat probe;
    probe.m_sender.m_name = "stranger";
    probe.m_sender.m_address = "stranger";
    for (int count = 0; count < 20; ++count)
    {
        auto const out = fleet.at(0).on_heartbeat(probe, fleet.now());
        for (auto const& action : out)
        {
            CHECK(action.m_heartbeat.m_records.size() <=
                  settings.m_max_gossip_records + settings.m_max_slice_records +
                      1);
        }
    }
}
