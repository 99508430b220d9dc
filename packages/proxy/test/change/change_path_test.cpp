#include "../support/proxy_fixture.hpp"

#include <doctest/doctest.h>

using tests::deployment;
using tests::running_instance;
using tests::wait_for;

namespace
{

/// @return true once the instance has executed a write
bool writes(running_instance& instance, std::string const& text)
{
    return wait_for([&]
                    { return instance.connect().outcome(text) == "COMPLETE"; });
}

} // namespace

TEST_CASE("a crashed primary is replaced, and sessions continue")
{
    deployment fixture;
    running_instance one(fixture.m_platform.address(), 1);
    running_instance two(fixture.m_platform.address(), 2);
    REQUIRE(one.wait_writes());
    REQUIRE(two.wait_writes());
    auto caller = one.connect();
    REQUIRE(caller.outcome("STORE a 1") == "COMPLETE");
    fixture.m_group.crash("m1");
    REQUIRE(writes(two, "STORE a 2"));
    CHECK(fixture.m_group.primary() != "m1");
    CHECK(fixture.m_platform.promotions().size() == 1);
    CHECK(caller.run("FETCH a")[0] == "ROW 2");
    fixture.m_group.restart("m1");
    REQUIRE(writes(one, "STORE a 3"));
    CHECK(caller.run("FETCH a")[0] == "ROW 3");
}

TEST_CASE("a transaction on a crashed primary is reported as rolled back")
{
    deployment fixture;
    running_instance one(fixture.m_platform.address(), 1);
    REQUIRE(one.wait_writes());
    auto caller = one.connect();
    caller.outcome("BEGIN");
    REQUIRE(caller.outcome("STORE a 1") == "COMPLETE");
    fixture.m_group.crash("m1");
    CHECK(caller.outcome("STORE a 2") == "STMTERR ABORTED");
    CHECK(caller.outcome("COMMIT") == "STMTERR ABORTED");
    REQUIRE(writes(one, "STORE b 1"));
    CHECK(one.connect().run("FETCH a")[0] == "ROW none");
}

TEST_CASE("a read after a promotion that lost records uses the new log")
{
    deployment fixture;
    running_instance one(fixture.m_platform.address(), 1);
    REQUIRE(one.wait_writes());
    for (auto const* const id : {"m2", "m3"})
    {
        fixture.m_group.change(id,
                               [](auto& member) { member.m_suspended = true; });
    }
    auto caller = one.connect();
    REQUIRE(caller.outcome("STORE a rolled-back") == "COMPLETE");
    fixture.m_group.crash("m1");
    REQUIRE(writes(one, "STORE b 1"));
    // The session's position is in no log any more; reads must not wait for
    // it.
    CHECK(caller.run("FETCH a")[0] == "ROW none");
    CHECK(caller.run("FETCH b")[0] == "ROW 1");
}

TEST_CASE("a leaving primary is replaced in an orderly change")
{
    deployment fixture;
    running_instance one(fixture.m_platform.address(), 1);
    REQUIRE(one.wait_writes());
    auto caller = one.connect();
    REQUIRE(caller.outcome("STORE a 1") == "COMPLETE");
    auto entry = fixture.m_platform.get("servers", "m1");
    entry.replace(entry.find("in_service"), 10, "draining");
    fixture.m_platform.put("servers", "m1", entry);
    CHECK(wait_for(
        [&]
        {
            return fixture.m_group.primary() != "m1" &&
                   caller.outcome("STORE a 2") == "COMPLETE";
        }));
    CHECK(one.connect().run("FETCH a")[0] == "ROW 2");
}

TEST_CASE("while the store is down, statements are served from cached records")
{
    deployment fixture;
    running_instance one(fixture.m_platform.address(), 1);
    REQUIRE(one.wait_writes());
    fixture.m_platform.set_fault_mode(
        tests::standin::text_platform::fault_mode::unavailable);
    auto caller = one.connect();
    for (int i = 0; i < 50; ++i)
    {
        REQUIRE(caller.outcome("STORE a " + std::to_string(i)) == "COMPLETE");
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    // No primary can be replaced now, because the term record can't be
    // written.
    fixture.m_group.crash("m1");
    CHECK(caller.outcome("STORE a x") != "COMPLETE");
    CHECK(fixture.m_platform.promotions().empty());
    fixture.m_platform.set_fault_mode(
        tests::standin::text_platform::fault_mode::none);
    CHECK(writes(one, "STORE a y"));
}

TEST_CASE("a change of primary completes although store responses are lost")
{
    deployment fixture;
    running_instance one(fixture.m_platform.address(), 1);
    REQUIRE(one.wait_writes());
    fixture.m_platform.set_fault_mode(
        tests::standin::text_platform::fault_mode::lost_write_responses);
    fixture.m_group.crash("m1");
    CHECK(writes(one, "STORE a 1"));
    CHECK(fixture.m_group.primary() != "m1");
}

TEST_CASE("an instance that starts later serves under the existing open record")
{
    deployment fixture;
    {
        running_instance first(fixture.m_platform.address(), 1);
        REQUIRE(first.wait_writes());
    }
    running_instance again(fixture.m_platform.address(), 1);
    CHECK(again.wait_writes());
    CHECK(fixture.m_platform.promotions().empty());
}

TEST_CASE("a new configuration takes effect, also after a compaction")
{
    deployment fixture;
    running_instance one(fixture.m_platform.address(), 1);
    REQUIRE(one.wait_writes());
    auto caller = one.connect();
    fixture.m_platform.compact();
    fixture.configure(3, "primary", "desks");
    CHECK(wait_for([&]
                   { return one.connect("desks").greeting() == "IDLE I -"; }));
    CHECK(one.connect().greeting().rfind("STMTERR NOSUCHDB", 0) == 0);
    CHECK(caller.outcome("FETCH a") == "STMTERR NOSUCHDB");
    fixture.configure(2, "primary", "loans"); // older version: ignored
    CHECK(one.connect("desks").outcome("STORE a 1") == "COMPLETE");
}

TEST_CASE("a member whose entry lapses and returns is fully used again")
{
    deployment fixture;
    running_instance one(fixture.m_platform.address(), 1);
    REQUIRE(one.wait_writes());
    auto const entry = fixture.m_platform.get("servers", "m2");
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
        fixture.m_platform.remove("servers", "m2");
        CHECK(wait_for([&] { return !served_by_m2() && !served_by_m2(); }));
        fixture.m_platform.put("servers", "m2", entry);
        holder.outcome("ROLLBACK");
        CHECK(wait_for(served_by_m2));
    }
}
