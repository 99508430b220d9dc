#include "../support/limited_deployment.hpp"

#include <algorithm>
#include <vector>

#include <doctest/doctest.h>

using tests::limited_deployment;
using tests::running_instance;
using tests::wait_for;

TEST_CASE("every instance serves although members accept few connections")
{
    limited_deployment fixture;
    REQUIRE(fixture.m_ready);
    for (auto const& each : fixture.m_instances)
    {
        auto caller = each->connect();
        CHECK(caller.outcome("STORE a 1") == "COMPLETE");
        CHECK(caller.run("FETCH a")[0] == "ROW 1");
    }
    for (auto const* const member : {"m1", "m2", "m3"})
    {
        auto const state = fixture.m_group.state(member);
        CHECK(state.m_connections > 0);
        CHECK(state.m_connections <= 4);
    }
}

TEST_CASE("a forwarded transaction keeps its connection and its values")
{
    limited_deployment fixture;
    REQUIRE(fixture.m_ready);
    for (auto const& each : fixture.m_instances)
    {
        auto caller = each->connect();
        CHECK(caller.outcome("SETPARAM lang pt") == "COMPLETE");
        CHECK(caller.outcome("PREPARE p STORE s1") == "COMPLETE");
        CHECK(caller.outcome("BEGIN") == "COMPLETE");
        CHECK(caller.outcome("EXECUTE p a in") == "COMPLETE");
        CHECK(caller.outcome("ROLLBACK") == "COMPLETE");
        auto const rolled_back = caller.run("FETCH a")[0];
        CHECK(rolled_back.find("ROW in") == std::string::npos);
        // Rows show the session values of the member's connection.
        CHECK(rolled_back.find(" lang=pt") != std::string::npos);
        CHECK(caller.outcome("BEGIN") == "COMPLETE");
        CHECK(caller.outcome("STORE a kept") == "COMPLETE");
        CHECK(caller.outcome("COMMIT") == "COMPLETE");
        CHECK(caller.run("FETCH a")[0] == "ROW kept lang=pt");
        CHECK(caller.outcome("STORE a other") == "COMPLETE");
    }
}

TEST_CASE("a disconnect in a forwarded transaction rolls it back")
{
    limited_deployment fixture;
    REQUIRE(fixture.m_ready);
    // Far more transactions than the primary's four connections.
    for (int round = 0; round < 4; ++round)
    {
        for (auto const& each : fixture.m_instances)
        {
            auto caller = each->connect();
            CHECK(caller.outcome("BEGIN") == "COMPLETE");
            CHECK(wait_for(
                [&]
                { return caller.outcome("STORE left open") == "COMPLETE"; }));
            caller.leave();
        }
    }
    CHECK(fixture.m_instances[0]->connect().run("FETCH left")[0] == "ROW none");
}

TEST_CASE("homes that stop one after the other are replaced")
{
    limited_deployment fixture;
    REQUIRE(fixture.m_ready);
    // The last instance remains; at least one of the others was a home.
    while (fixture.m_instances.size() > 1)
    {
        fixture.m_instances.erase(fixture.m_instances.begin());
        auto& last = *fixture.m_instances.back();
        CHECK(
            wait_for([&] { return limited_deployment::serves_writes(last); }));
    }
}
