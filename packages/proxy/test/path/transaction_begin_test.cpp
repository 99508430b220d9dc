#include "../support/proxy_fixture.hpp"

#include <array>

#include <doctest/doctest.h>

using camphortide::standin::begin_answer;
using tests::deployment;
using tests::running_instance;

namespace
{

/// Changes the state of all members.
void change_members(
    deployment& fixture,
    std::function<void(tests::standin::text_member_state&)> const& change)
{
    for (auto const& member : fixture.m_group.members())
    {
        fixture.m_group.change(member, change);
    }
}

} // namespace

// Guards against a second BEGIN on the connection, as the first statement of a
// transaction was refused with BUSY.
TEST_CASE("a statement that is sent again doesn't begin its transaction again")
{
    deployment fixture;
    running_instance one(fixture.m_platform.address(), 1);
    REQUIRE(one.wait_writes());
    change_members(fixture, [](auto& state) { state.m_busy_replies = 2; });
    auto caller = one.connect();
    caller.outcome("BEGIN");
    CHECK(caller.outcome("STORE a 1") == "COMPLETE");
    CHECK(caller.outcome("COMMIT") == "COMPLETE");
    CHECK(one.connect().run("FETCH a")[0] == "ROW 1");
    for (auto const& member : fixture.m_group.members())
    {
        CHECK(fixture.m_group.state(member).m_nested_begins == 0);
    }
}

// Guards against a connection in a transaction that other callers get.
TEST_CASE("no caller's write joins a transaction whose BEGIN was odd")
{
    deployment fixture;
    running_instance one(fixture.m_platform.address(), 1);
    REQUIRE(one.wait_writes());
    int number = 0;
    for (auto const answer :
         {begin_answer::error_idle, begin_answer::error_in_transaction,
          begin_answer::error_failed, begin_answer::success_idle})
    {
        CAPTURE(static_cast<int>(answer));
        change_members(fixture,
                       [&](auto& state) { state.m_next_begin = answer; });
        auto caller = one.connect();
        caller.outcome("BEGIN");
        caller.outcome("STORE first 1");
        for (int count = 0; count < 20; ++count)
        {
            std::string item = "k";
            item += std::to_string(++number);
            std::string statement = "STORE ";
            statement.append(item).append(" x");
            auto other = one.connect();
            REQUIRE(other.outcome(statement) == "COMPLETE");
        }
        caller.outcome("ROLLBACK");
    }
    std::size_t kept = 0;
    for (auto const& commit :
         fixture.m_group.state(fixture.m_group.primary()).m_log)
    {
        for (auto const& change : commit.m_changes)
        {
            kept += change.first.front() == 'k' ? 1 : 0;
            CHECK(change.first != "first");
        }
    }
    CHECK(kept == static_cast<std::size_t>(number));
}
