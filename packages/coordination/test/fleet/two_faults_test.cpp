#include "instance_fleet.hpp"

#include <string_view>

#include <doctest/doctest.h>

using camphortide::state::duration;

namespace
{

/// A fault with its start and end.
struct fault
{
    std::string_view m_name;
    void (*m_begin)(instance_fleet&);
    void (*m_end)(instance_fleet&);
};

void no_action(instance_fleet&) {}

void replace(instance_fleet& fleet, std::size_t index)
{
    if (fleet.is_running(index))
    {
        fleet.kill(index);
    }
    fleet.start(index);
}

constexpr fault faults[]{
    {"store down", [](instance_fleet& fleet) { fleet.stop_store(); },
     [](instance_fleet& fleet)
     {
         fleet.start_store();
     }},
    {"data centre lost",
     [](instance_fleet& fleet)
     {
         for (std::size_t const index : {1U, 4U, 7U})
         {
             fleet.kill(index);
         }
     },
     [](instance_fleet& fleet)
     {
         for (std::size_t const index : {1U, 4U, 7U})
         {
             replace(fleet, index);
         }
     }},
    {"regions apart", [](instance_fleet& fleet) { fleet.partition_regions(); },
     [](instance_fleet& fleet)
     {
         fleet.reconnect_regions();
     }},
    {"instance paused", [](instance_fleet& fleet) { fleet.pause(3); },
     [](instance_fleet& fleet)
     {
         fleet.resume(3);
     }},
    {"instance replaced", [](instance_fleet& fleet) { replace(fleet, 6); },
     no_action},
    {"instance leaves", [](instance_fleet& fleet) { fleet.leave(0); },
     [](instance_fleet& fleet)
     {
         replace(fleet, 0);
     }},
    {"catalogue changed", [](instance_fleet& fleet) { fleet.change(); },
     no_action},
};

constexpr duration fault_gap{2'000};
constexpr duration fault_duration{180'000};
constexpr duration recovery_time{40'000};

} // namespace

TEST_CASE("after any two concurrent faults all instances agree, and no "
          "version went back")
{
    for (auto const& first : faults)
    {
        for (auto const& second : faults)
        {
            CAPTURE(first.m_name);
            CAPTURE(second.m_name);
            instance_fleet fleet;
            REQUIRE(fleet.is_consistent());
            first.m_begin(fleet);
            fleet.run(fault_gap);
            second.m_begin(fleet);
            fleet.run(fault_duration);
            first.m_end(fleet);
            second.m_end(fleet);
            fleet.change();
            fleet.run(recovery_time);
            CHECK(fleet.is_consistent());
            CHECK(fleet.all_ready());
            CHECK(fleet.all_have_homes());
            CHECK_FALSE(fleet.version_went_back());
        }
    }
}

TEST_CASE("when a data centre is lost while the store is down, every group "
          "has two homes and a new instance becomes ready")
{
    instance_fleet fleet;
    fleet.stop_store();
    fleet.run(fault_gap);
    for (std::size_t const index : {1U, 4U, 7U})
    {
        fleet.kill(index);
    }
    fleet.run(duration(12'000));
    CHECK(fleet.is_consistent());
    CHECK(fleet.all_have_homes());
    fleet.start(10);
    fleet.run(duration(5'000));
    CHECK(fleet.is_ready(10));
    CHECK(fleet.version_at(10) == fleet.version());
    CHECK(fleet.is_consistent());
}

TEST_CASE("during a partition of the regions the side with the store gets "
          "changes, an instance can join the other side, and both sides agree "
          "afterwards")
{
    instance_fleet fleet;
    auto const before = fleet.version();
    fleet.partition_regions();
    fleet.run(duration(20'000));
    fleet.change();
    fleet.run(duration(7'000));
    CHECK(fleet.version_at(0) == before + 1);
    CHECK(fleet.version_at(2) == before);
    CHECK_FALSE(fleet.sees_live(0, 2));
    CHECK(fleet.sees_live(2, 5));
    fleet.start(11); // in the region without the store
    fleet.run(duration(200'000));
    CHECK(fleet.sees_live(2, 11));
    fleet.reconnect_regions();
    fleet.run(duration(7'000));
    CHECK(fleet.version_at(2) == before + 1);
    CHECK(fleet.is_ready(11));
    fleet.run(recovery_time);
    CHECK(fleet.is_consistent());
    CHECK_FALSE(fleet.version_went_back());
}

TEST_CASE("a rolling replacement of all instances never leaves a group "
          "without homes, even while the store is down")
{
    instance_fleet fleet;
    for (std::size_t index = 0; index < instance_fleet::size; ++index)
    {
        if (index == 4)
        {
            fleet.stop_store();
        }
        fleet.start(index + instance_fleet::size);
        fleet.run(duration(5'000));
        CHECK(fleet.is_ready(index + instance_fleet::size));
        fleet.leave(index);
        fleet.run(duration(5'000));
        CHECK_FALSE(fleet.sees_live(instance_fleet::size, index));
        fleet.kill(index);
        CHECK(fleet.all_have_homes());
        CHECK(fleet.all_ready());
    }
    CHECK(fleet.is_consistent());
    CHECK_FALSE(fleet.version_went_back());
}

TEST_CASE("an instance that leaves during a partition is not live again after "
          "it")
{
    instance_fleet fleet;
    fleet.partition_regions();
    fleet.run(duration(20'000));
    fleet.leave(2);
    fleet.run(fault_gap);
    CHECK_FALSE(fleet.sees_live(5, 2));
    fleet.reconnect_regions();
    for (int second = 0; second < 40; ++second)
    {
        fleet.run(duration(1'000));
        CHECK_FALSE(fleet.sees_live(0, 2));
    }
    CHECK(fleet.sees_live(0, 5));
}
