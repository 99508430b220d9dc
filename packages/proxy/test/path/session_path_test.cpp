#include "../support/proxy_fixture.hpp"

#include <doctest/doctest.h>

using tests::deployment;
using tests::running_instance;
using tests::wait_for;
using lines = std::vector<std::string>;

TEST_CASE("a session writes, reads its write, and commits a transaction")
{
    deployment fixture;
    running_instance instance(fixture.m_platform.address(), 1);
    REQUIRE(instance.wait_writes());
    auto caller = instance.connect();
    CHECK(caller.greeting() == "IDLE I -");
    CHECK(caller.outcome("STORE a 1") == "COMPLETE");
    auto const read = caller.run("FETCH a");
    REQUIRE(read.size() == 3);
    CHECK(read[0] == "ROW 1");
    CHECK(read[2] == "IDLE I");
    CHECK(caller.run("BEGIN") == lines{"COMPLETE -", "IDLE T"});
    CHECK(caller.outcome("STORE a 2") == "COMPLETE");
    CHECK(instance.connect().run("FETCH a")[0] == "ROW 1");
    CHECK(caller.outcome("COMMIT") == "COMPLETE");
    CHECK(caller.run("FETCH a")[0] == "ROW 2");
    CHECK(caller.outcome("BEGIN FETCH") == "COMPLETE");
    CHECK(caller.outcome("STORE a 3") == "STMTERR READONLY");
    CHECK(caller.outcome("FETCH a") == "STMTERR MALFORMED");
    CHECK(caller.run("ROLLBACK") == lines{"COMPLETE -", "IDLE I"});
}

TEST_CASE("session values and prepared statements stay with their session")
{
    deployment fixture;
    running_instance instance(fixture.m_platform.address(), 1);
    REQUIRE(instance.wait_writes());
    auto one = instance.connect();
    auto two = instance.connect();
    CHECK(one.outcome("STORE a 1") == "COMPLETE");
    CHECK(one.outcome("SETPARAM zone north") == "COMPLETE");
    CHECK(one.outcome("PREPARE s FETCH q1") == "COMPLETE");
    CHECK(two.outcome("PREPARE s STORE q2") == "COMPLETE");
    for (int round = 0; round < 5; ++round)
    {
        CHECK(one.run("EXECUTE s a")[0] == "ROW 1 zone=north");
        CHECK(two.outcome("EXECUTE s b x") == "COMPLETE");
        CHECK(two.run("FETCH a")[0] == "ROW 1");
    }
    CHECK(two.outcome("DEALLOC s") == "COMPLETE");
    CHECK(two.outcome("EXECUTE s b x") == "STMTERR NOSUCHSTMT");
}

TEST_CASE("an unknown database or invalid message ends only its own session")
{
    deployment fixture;
    running_instance instance(fixture.m_platform.address(), 1);
    REQUIRE(instance.wait_writes());
    auto other = instance.connect();
    auto none = instance.connect("nowhere");
    CHECK(none.greeting() == "STMTERR NOSUCHDB no such database");
    CHECK(none.line().empty());
    auto broken = instance.connect();
    broken.send("GET / HTTP/1.1");
    CHECK(broken.line() == "STMTERR MALFORMED message not understood");
    CHECK(broken.line().empty());
    CHECK(other.outcome("SYNCPOINT 9.9 FETCH a") == "STMTERR MALFORMED");
    CHECK(other.outcome("FETCH a") == "COMPLETE");
}

TEST_CASE("pipelined requests are answered in order")
{
    deployment fixture;
    running_instance instance(fixture.m_platform.address(), 1);
    REQUIRE(instance.wait_writes());
    auto caller = instance.connect();
    caller.send("QUERY a1 STORE a 1\r\nQUERY a2 FETCH a\r\nQUERY a3 BEGIN\r\n"
                "QUERY a4 STORE a 2\r\nQUERY a5 COMMIT\r\nQUERY a6 FETCH a");
    CHECK(caller.answer().size() == 2);
    CHECK(caller.answer()[0] == "ROW 1");
    CHECK(caller.answer() == lines{"COMPLETE -", "IDLE T"});
    CHECK(caller.answer().size() == 2);
    CHECK(caller.answer().size() == 2);
    CHECK(caller.answer()[0] == "ROW 2");
}

TEST_CASE("a disconnect in a transaction rolls it back")
{
    deployment fixture;
    running_instance instance(fixture.m_platform.address(), 1);
    REQUIRE(instance.wait_writes());
    for (int round = 0; round < 30; ++round)
    {
        auto caller = instance.connect();
        CHECK(caller.outcome("BEGIN") == "COMPLETE");
        CHECK(caller.outcome("STORE a lost") == "COMPLETE");
        caller.leave();
    }
    CHECK(instance.connect().run("FETCH a")[0] == "ROW none");
    // The connections were reused: thirty would exceed the member's limit.
    CHECK(fixture.m_group.state("m1").m_refused_connections == 0);
}

TEST_CASE("a write whose answer is lost is in doubt and never sent twice")
{
    deployment fixture;
    running_instance instance(fixture.m_platform.address(), 1);
    REQUIRE(instance.wait_writes());
    auto caller = instance.connect();
    fixture.m_group.change("m1",
                           [](auto& member) { member.m_replies_to_drop = 1; });
    CHECK(caller.outcome("STORE a 1") == "STMTERR INDOUBT");
    auto const executed = fixture.m_group.executed();
    auto const id = 'q' + std::to_string(caller.last_id());
    CHECK(std::count(executed.begin(), executed.end(), id) == 1);
    CHECK(caller.run("FETCH a")[0] == "ROW 1");
}

TEST_CASE(
    "after a lost answer a commit is in doubt, a statement is rolled back")
{
    deployment fixture;
    running_instance instance(fixture.m_platform.address(), 1);
    REQUIRE(instance.wait_writes());
    auto caller = instance.connect();
    auto const drop_next_reply = [&]
    {
        fixture.m_group.change("m1", [](auto& member)
                               { member.m_replies_to_drop = 1; });
    };
    caller.outcome("BEGIN");
    CHECK(caller.outcome("STORE a 1") == "COMPLETE");
    drop_next_reply();
    CHECK(caller.outcome("COMMIT") == "STMTERR INDOUBT");
    caller.outcome("BEGIN");
    drop_next_reply();
    CHECK(caller.outcome("STORE a 2") == "STMTERR ABORTED");
    CHECK(caller.outcome("ROLLBACK") == "COMPLETE");
    CHECK(caller.run("FETCH a")[0] == "ROW 1");
}

TEST_CASE("connections to a member stay within its limit")
{
    deployment fixture;
    running_instance instance(fixture.m_platform.address(), 1);
    REQUIRE(instance.wait_writes());
    std::vector<std::unique_ptr<tests::text_client>> callers;
    int open_transactions = 0;
    for (int i = 0; i < 20; ++i)
    {
        callers.push_back(instance.open());
        callers.back()->outcome("BEGIN");
        open_transactions +=
            callers.back()->outcome("STORE x 1") == "COMPLETE" ? 1 : 0;
    }
    CHECK(open_transactions >= 14);
    CHECK(fixture.m_group.state("m1").m_connections <= 16);
    callers.front()->outcome("COMMIT");
    CHECK(instance.connect().outcome("STORE y 1") == "COMPLETE");
}

TEST_CASE("a replica that fell behind serves again once it has caught up")
{
    deployment fixture;
    running_instance instance(fixture.m_platform.address(), 1);
    REQUIRE(instance.wait_writes());
    auto const set_applies_commits = [&](bool value)
    {
        for (auto const* const id : {"m2", "m3"})
        {
            fixture.m_group.change(id, [value](auto& member)
                                   { member.m_applies_commits = value; });
        }
    };
    set_applies_commits(false);
    auto caller = instance.connect();
    for (int i = 0; i < 200; ++i)
    {
        REQUIRE(caller.outcome("STORE a " + std::to_string(i)) == "COMPLETE");
        REQUIRE(caller.run("FETCH a")[0] == "ROW " + std::to_string(i));
    }
    set_applies_commits(true);
    auto reader = instance.connect();
    CHECK(wait_for(
        [&]
        {
            auto const answer = reader.run("FETCH a");
            return answer[1] == "COMPLETE mac-m2" ||
                   answer[1] == "COMPLETE mac-m3";
        }));
}
