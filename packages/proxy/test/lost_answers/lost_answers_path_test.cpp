#include "../support/proxy_fixture.hpp"

#include <array>

#include <doctest/doctest.h>

using camphortide::standin::answer_fault;
using camphortide::standin::answer_fault_rule;
using tests::deployment;
using tests::running_instance;
using tests::wait_for;

namespace
{

constexpr std::size_t connections = 16;

/// A kind of request to a member, and what makes an instance send it.
struct request_kind
{
    char const* m_name;
    char const* m_request; ///< how it begins
    /// Statements of a caller, separated by '|'. Then the caller leaves.
    char const* m_statements;
};

constexpr std::array kinds{
    request_kind{"read", "FETCH a", "FETCH a"},
    request_kind{"write", "STORE a", "STORE a lost"},
    request_kind{"beginning", "BEGIN", "BEGIN|STORE a lost|COMMIT"},
    request_kind{"statement of a transaction", "STORE a",
                 "BEGIN|STORE a lost|COMMIT"},
    request_kind{"commit", "COMMIT", "BEGIN|STORE a lost|COMMIT"},
    request_kind{"rollback", "ROLLBACK", "BEGIN|STORE a lost|ROLLBACK"},
    request_kind{"rollback after the caller", "ROLLBACK", "BEGIN|STORE a lost"},
    request_kind{"session value", "SETPARAM", "SETPARAM p v|STORE a lost"},
    request_kind{"reset", "RESET", "STORE a lost"},
    request_kind{"preparation", "PREPARE",
                 "PREPARE s STORE q|EXECUTE s a lost"}};

constexpr std::array faults{answer_fault::lost, answer_fault::cut_off,
                            answer_fault::late};

/// @param statements separated by '|'
void run_all(tests::text_client& caller, std::string statements)
{
    while (!statements.empty())
    {
        auto const end = statements.find('|');
        caller.outcome(statements.substr(0, end));
        statements.erase(0, end == std::string::npos ? end : end + 1);
    }
}

/// @return true if so many transactions can be open at the same time
bool has_capacity(running_instance& instance, std::size_t count)
{
    std::vector<std::unique_ptr<tests::text_client>> callers;
    std::size_t open = 0;
    for (std::size_t i = 0; i < count; ++i)
    {
        callers.push_back(instance.open());
        callers.back()->outcome("BEGIN");
        open += callers.back()->outcome("STORE c 1") == "COMPLETE" ? 1 : 0;
    }
    for (auto const& each : callers)
    {
        each->outcome("ROLLBACK");
    }
    return open == count;
}

void set_fault(deployment& fixture, answer_fault_rule const& rule)
{
    fixture.m_group.change("m1", [&](auto& member)
                           { member.m_answer_faults = {rule}; });
}

} // namespace

// Guards against connections that are in use for ever, as a rollback waits for
// an answer that never comes.
TEST_CASE("lost answers to rollbacks don't exhaust the connections")
{
    deployment fixture;
    running_instance instance(fixture.m_platform.address(), 1);
    REQUIRE(instance.wait_writes());
    set_fault(fixture, {"ROLLBACK", answer_fault::lost, connections});
    for (std::size_t i = 0; i < connections; ++i)
    {
        auto caller = instance.connect();
        run_all(caller, "BEGIN|STORE a lost|ROLLBACK");
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(2000));
    for (int i = 0; i < 20; ++i)
    {
        CHECK(instance.connect().outcome("STORE b 1") == "COMPLETE");
    }
    CHECK(has_capacity(instance, connections - 2));
}

TEST_CASE("after a lost answer of any kind the capacity is whole again")
{
    deployment fixture;
    running_instance instance(fixture.m_platform.address(), 1);
    REQUIRE(instance.wait_writes());
    for (auto const& kind : kinds)
    {
        for (auto const fault : faults)
        {
            CAPTURE(kind.m_name);
            CAPTURE(static_cast<int>(fault));
            {
                // The next statement finds a connection with a session value.
                auto other = instance.connect();
                run_all(other, "SETPARAM q w|STORE b 0");
                set_fault(fixture, {kind.m_request, fault, 1});
                auto caller = instance.connect();
                run_all(caller, kind.m_statements);
            }
            // Nobody gets what was meant for another caller.
            auto reader = instance.connect();
            REQUIRE(reader.outcome("STORE mine 7") == "COMPLETE");
            CHECK(reader.run("FETCH mine")[0] == "ROW 7");
            set_fault(fixture, {"none", answer_fault::lost, 0});
            CHECK(wait_for(
                [&] { return has_capacity(instance, connections - 2); }));
        }
    }
}

// Guards against connections that outlive the instance, as handlers hold them.
// Only the address sanitizer's report of leaks shows it.
TEST_CASE("an instance stops while answers are outstanding")
{
    deployment fixture;
    running_instance instance(fixture.m_platform.address(), 1);
    REQUIRE(instance.wait_writes());
    for (auto const* const request : {"ROLLBACK", "SETPARAM"})
    {
        set_fault(fixture, {request, answer_fault::lost, 1});
        auto caller = instance.connect();
        run_all(caller, "SETPARAM p v|BEGIN");
        caller.send("QUERY last STORE a 1");
        caller.leave();
    }
    auto caller = instance.connect();
    set_fault(fixture, {"ROLLBACK", answer_fault::lost, 1});
    run_all(caller, "BEGIN|STORE a 1|ROLLBACK");
}

TEST_CASE("a commit whose answer is overdue is in doubt")
{
    deployment fixture;
    running_instance instance(fixture.m_platform.address(), 1);
    REQUIRE(instance.wait_writes());
    for (auto const fault : faults)
    {
        CAPTURE(static_cast<int>(fault));
        auto caller = instance.connect();
        caller.outcome("BEGIN");
        REQUIRE(caller.outcome("STORE d 1") == "COMPLETE");
        set_fault(fixture, {"COMMIT", fault, 1});
        CHECK(caller.outcome("COMMIT") == "STMTERR INDOUBT");
    }
}
