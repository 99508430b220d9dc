#include "../support/proxy_fixture.hpp"

#include <doctest/doctest.h>

using tests::deployment;
using tests::running_instance;
using tests::wait_for;

namespace
{

/// @return true once the instance serves a write
bool writes(running_instance& instance, std::string const& text)
{
    return wait_for([&]
                    { return instance.connect().outcome(text) == "COMPLETE"; });
}

} // namespace

TEST_CASE("a primary that crashes is replaced, and nothing else is lost")
{
    deployment world;
    running_instance one(world.m_platform.address(), 1);
    running_instance two(world.m_platform.address(), 2);
    REQUIRE(one.wait_writes());
    REQUIRE(two.wait_writes());
    auto caller = one.connect();
    REQUIRE(caller.outcome("STORE a 1") == "COMPLETE");
    world.m_group.crash("m1");
    REQUIRE(writes(two, "STORE a 2"));
    CHECK(world.m_group.primary() != "m1");
    CHECK(world.m_platform.promotions().size() == 1);
    CHECK(caller.run("FETCH a")[0] == "ROW 2");
    world.m_group.restart("m1");
    REQUIRE(writes(one, "STORE a 3"));
    CHECK(caller.run("FETCH a")[0] == "ROW 3");
}

TEST_CASE("a transaction that its primary took along is told as rolled back")
{
    deployment world;
    running_instance one(world.m_platform.address(), 1);
    REQUIRE(one.wait_writes());
    auto caller = one.connect();
    caller.outcome("BEGIN");
    REQUIRE(caller.outcome("STORE a 1") == "COMPLETE");
    world.m_group.crash("m1");
    CHECK(caller.outcome("STORE a 2") == "STMTERR ABORTED");
    CHECK(caller.outcome("COMMIT") == "STMTERR ABORTED");
    REQUIRE(writes(one, "STORE b 1"));
    CHECK(one.connect().run("FETCH a")[0] == "ROW none");
}

TEST_CASE("a read after a promotion that rolled back finds the new log")
{
    deployment world;
    running_instance one(world.m_platform.address(), 1);
    REQUIRE(one.wait_writes());
    for (auto const* const id : {"m2", "m3"})
    {
        world.m_group.change(id,
                             [](auto& member) { member.m_suspended = true; });
    }
    auto caller = one.connect();
    REQUIRE(caller.outcome("STORE a rolled-back") == "COMPLETE");
    world.m_group.crash("m1");
    REQUIRE(writes(one, "STORE b 1"));
    // Its own position is in no log any more; it must not wait for it.
    CHECK(caller.run("FETCH a")[0] == "ROW none");
    CHECK(caller.run("FETCH b")[0] == "ROW 1");
}

TEST_CASE("a primary that leaves is replaced in order")
{
    deployment world;
    running_instance one(world.m_platform.address(), 1);
    REQUIRE(one.wait_writes());
    auto caller = one.connect();
    REQUIRE(caller.outcome("STORE a 1") == "COMPLETE");
    auto entry = world.m_platform.get("servers", "m1");
    entry.replace(entry.find("in_service"), 10, "draining");
    world.m_platform.put("servers", "m1", entry);
    CHECK(wait_for(
        [&]
        {
            return world.m_group.primary() != "m1" &&
                   caller.outcome("STORE a 2") == "COMPLETE";
        }));
    CHECK(one.connect().run("FETCH a")[0] == "ROW 2");
}

TEST_CASE("while the store is down everything that is known serves on")
{
    deployment world;
    running_instance one(world.m_platform.address(), 1);
    REQUIRE(one.wait_writes());
    world.m_platform.set_fault_mode(
        tests::standin::text_platform::fault_mode::unavailable);
    auto caller = one.connect();
    for (int i = 0; i < 50; ++i)
    {
        REQUIRE(caller.outcome("STORE a " + std::to_string(i)) == "COMPLETE");
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    // No primary can be replaced now: who knows of it can't be told.
    world.m_group.crash("m1");
    CHECK(caller.outcome("STORE a x") != "COMPLETE");
    CHECK(world.m_platform.promotions().empty());
    world.m_platform.set_fault_mode(
        tests::standin::text_platform::fault_mode::none);
    CHECK(writes(one, "STORE a y"));
}

TEST_CASE("a change of primary ends well though answers of the store are lost")
{
    deployment world;
    running_instance one(world.m_platform.address(), 1);
    REQUIRE(one.wait_writes());
    world.m_platform.set_fault_mode(
        tests::standin::text_platform::fault_mode::lost_write_responses);
    world.m_group.crash("m1");
    CHECK(writes(one, "STORE a 1"));
    CHECK(world.m_group.primary() != "m1");
}

TEST_CASE("an instance that starts later serves under the open record")
{
    deployment world;
    {
        running_instance first(world.m_platform.address(), 1);
        REQUIRE(first.wait_writes());
    }
    running_instance again(world.m_platform.address(), 1);
    CHECK(again.wait_writes());
    CHECK(world.m_platform.promotions().empty());
}

TEST_CASE("a new configuration is in force, also after the history was dropped")
{
    deployment world;
    running_instance one(world.m_platform.address(), 1);
    REQUIRE(one.wait_writes());
    auto caller = one.connect();
    world.m_platform.compact();
    world.configure(3, "primary", "desks");
    CHECK(wait_for([&]
                   { return one.connect("desks").greeting() == "IDLE I -"; }));
    CHECK(one.connect().greeting().rfind("STMTERR NOSUCHDB", 0) == 0);
    CHECK(caller.outcome("FETCH a") == "STMTERR NOSUCHDB");
    world.configure(2, "primary", "loans"); // older: it is not taken
    CHECK(one.connect("desks").outcome("STORE a 1") == "COMPLETE");
}

TEST_CASE("a member whose entry lapses and returns gets its full load again")
{
    deployment world;
    running_instance one(world.m_platform.address(), 1);
    REQUIRE(one.wait_writes());
    auto const entry = world.m_platform.get("servers", "m2");
    auto reader = one.connect();
    auto const served_by_m2 = [&]
    {
        return reader.run("FETCH a")[1] == "COMPLETE mac-m2";
    };
    REQUIRE(wait_for(served_by_m2));
    for (int round = 0; round < 2; ++round)
    {
        auto holder = one.connect();
        holder.outcome("BEGIN FETCH");
        REQUIRE(
            wait_for([&] { return holder.outcome("FETCH a") == "COMPLETE"; }));
        world.m_platform.remove("servers", "m2");
        CHECK(wait_for([&] { return !served_by_m2() && !served_by_m2(); }));
        world.m_platform.put("servers", "m2", entry);
        holder.outcome("ROLLBACK");
        CHECK(wait_for(served_by_m2));
    }
}
