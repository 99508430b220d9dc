#include "../support/proxy_fixture.hpp"

#include <map>
#include <memory>
#include <string>
#include <vector>

#include <doctest/doctest.h>

using tests::deployment;
using tests::running_instance;
using tests::text_client;
using tests::wait_for;

namespace
{

constexpr int customers = 12;

std::string name(std::string prefix, int number)
{
    return prefix.append(std::to_string(number));
}

/// More customers than connections: each member accepts 6.
struct crowded_deployment : deployment
{
    crowded_deployment()
    {
        configure_connections(2, 6);
        std::string tenants;
        for (int number = 0; number < customers; ++number)
        {
            auto const text = std::to_string(number);
            tenants += (number == 0 ? "" : ",");
            tenants.append(R"({"name":"c)").append(text);
            tenants.append(R"(","apiKeys":["k)").append(text).append(R"("]})");
        }
        configure(3, "read_your_writes", "loans", 6,
                  R"(,"tenants":[)" + tenants + ']');
    }

    bool wait_writes()
    {
        return wait_for(
            [&]
            {
                try
                {
                    return m_instance.connect("loans", "k0")
                               .outcome("STORE ready yes") == "COMPLETE";
                }
                catch (boost::system::system_error const&)
                {
                    return false; // not listening yet
                }
            });
    }

    running_instance m_instance{m_platform.address(), 1};
};

} // namespace

TEST_CASE("more customers than connections are all served")
{
    // Guards against customers that find no connection because others hold all
    // of them while idle, and against statements on another's connection.
    crowded_deployment fixture;
    REQUIRE(fixture.wait_writes());
    std::vector<std::unique_ptr<text_client>> callers;
    callers.reserve(customers);
    for (int number = 0; number < customers; ++number)
    {
        // Constructed in place: a client can't be moved.
        callers.emplace_back(new text_client(
            fixture.m_instance.connect("loans", name("k", number))));
    }
    for (int round = 0; round < 5; ++round)
    {
        for (int number = 0; number < customers; ++number)
        {
            auto const key = name("x", number);
            auto& caller = *callers[static_cast<std::size_t>(number)];
            CAPTURE(number);
            CAPTURE(round);
            CHECK(caller.outcome("STORE " + key + " 1") == "COMPLETE");
            CHECK(caller.outcome("FETCH " + key) == "COMPLETE");
        }
    }
    std::map<std::string, int> statements;
    for (auto const& each : fixture.m_group.executed_statements())
    {
        ++statements[each.m_caller];
        bool const named = each.m_text.starts_with("STORE x");
        auto const customer =
            named ? std::string(1, 'c').append(each.m_text, 7,
                                               each.m_text.find(' ', 6) - 7)
                  : each.m_caller;
        CHECK(customer == each.m_caller);
    }
    for (int number = 0; number < customers; ++number)
    {
        CHECK(statements[name("c", number)] >= 10);
    }
}

TEST_CASE("a transaction keeps its connection while other customers wait")
{
    // Guards against closing a connection in use for another customer.
    crowded_deployment fixture;
    REQUIRE(fixture.wait_writes());
    auto open = fixture.m_instance.connect("loans", "k0");
    CHECK(open.outcome("BEGIN") == "COMPLETE");
    CHECK(open.outcome("STORE t 1") == "COMPLETE");
    for (int number = 1; number < customers; ++number)
    {
        auto other = fixture.m_instance.connect("loans", name("k", number));
        CHECK(other.outcome("STORE o 1") == "COMPLETE");
    }
    CHECK(open.outcome("STORE t 2") == "COMPLETE");
    CHECK(open.outcome("COMMIT") == "COMPLETE");
}
