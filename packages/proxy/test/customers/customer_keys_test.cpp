#include "../support/proxy_fixture.hpp"

#include <algorithm>
#include <chrono>
#include <thread>

#include <doctest/doctest.h>

using tests::deployment;
using tests::running_instance;
using tests::wait_for;

namespace
{

/// A platform whose callers need keys.
struct keyed_platform : deployment
{
    explicit keyed_platform(std::string const& tenants)
    {
        configure_customers(2, tenants);
    }
};

/// A deployment whose callers need keys, with one instance, which never sees a
/// configuration without customers.
struct keyed_deployment : keyed_platform
{
    using keyed_platform::keyed_platform;

    /// @return true if the instance serves writes of a key
    bool wait_writes(std::string const& key)
    {
        return wait_for(
            [&]
            {
                try
                {
                    auto caller = m_instance.connect("loans", key);
                    return caller.greeting() == "IDLE I -" &&
                           caller.outcome("STORE ready yes") == "COMPLETE";
                }
                catch (boost::system::system_error const&)
                {
                    return false; // not listening yet
                }
            });
    }

    /// @return true if the customer's callers ran a statement at a member
    bool ran_for(std::string const& customer) const
    {
        return std::ranges::any_of(m_group.executed_statements(),
                                   [&](auto const& each)
                                   { return each.m_caller == customer; });
    }

    running_instance m_instance{m_platform.address(), 1};
};

constexpr auto north = R"({"name":"north","apiKeys":["kn1","kn2"]})";
constexpr auto south = R"({"name":"south","apiKeys":["ks"]})";
auto const both = std::string(north) + ',' + south;

} // namespace

TEST_CASE("members are told the customer that holds the caller's key")
{
    keyed_deployment fixture(both);
    REQUIRE(fixture.wait_writes("kn1"));
    CHECK(fixture.ran_for("north"));
    CHECK_FALSE(fixture.ran_for("south"));
    CHECK(fixture.m_instance.connect("loans", "ks").outcome("STORE a 1") ==
          "COMPLETE");
    CHECK(fixture.ran_for("south"));
    // A statement of one customer on a connection of another one would run for
    // the wrong one.
    auto one = fixture.m_instance.connect("loans", "kn2");
    auto two = fixture.m_instance.connect("loans", "ks");
    for (int round = 0; round < 20; ++round)
    {
        CHECK(one.outcome("STORE n " + std::to_string(round)) == "COMPLETE");
        CHECK(two.outcome("STORE s " + std::to_string(round)) == "COMPLETE");
    }
    for (auto const& each : fixture.m_group.executed_statements())
    {
        CAPTURE(each.m_text);
        CHECK(
            (!each.m_text.starts_with("STORE n") || each.m_caller == "north"));
        CHECK(
            (!each.m_text.starts_with("STORE s") || each.m_caller == "south"));
    }
}

TEST_CASE("callers without a customer's key are refused at once")
{
    keyed_deployment fixture(both);
    REQUIRE(fixture.wait_writes("kn1"));
    for (std::string const& key :
         {std::string("kn"), std::string("kn1 "), std::string(65536, 'k'),
          std::string("\xff\xfe")})
    {
        CAPTURE(key.size());
        auto caller = fixture.m_instance.connect("loans", key);
        CHECK(caller.greeting() == "STMTERR UNAUTH unknown key");
        CHECK(caller.line().empty());
    }
    CHECK_FALSE(fixture.ran_for("camphortide"));
}

TEST_CASE("a withdrawn key serves no further operation of an open session")
{
    keyed_deployment fixture(both);
    REQUIRE(fixture.wait_writes("kn1"));
    REQUIRE(fixture.wait_writes("ks"));
    auto withdrawn = fixture.m_instance.connect("loans", "kn1");
    auto kept = fixture.m_instance.connect("loans", "kn2");
    auto in_transaction = fixture.m_instance.connect("loans", "kn1");
    CHECK(in_transaction.outcome("BEGIN") == "COMPLETE");
    CHECK(in_transaction.outcome("STORE a 1") == "COMPLETE");
    fixture.configure_customers(3, R"({"name":"north","apiKeys":["kn2"]},)" +
                                       std::string(south));
    CHECK(wait_for(
        [&] { return withdrawn.outcome("FETCH a") == "STMTERR UNAUTH"; }));
    CHECK(kept.outcome("FETCH a") == "COMPLETE");
    // The open transaction is rolled back a while later.
    CHECK(wait_for(
        [&]
        {
            std::this_thread::sleep_for(std::chrono::milliseconds(50));
            return in_transaction.outcome("FETCH a") == "STMTERR ABORTED";
        }));
    CHECK(in_transaction.outcome("ROLLBACK") == "COMPLETE");
    CHECK(in_transaction.outcome("FETCH a") == "STMTERR UNAUTH");
    CHECK(kept.run("FETCH a")[0] == "ROW none");
}

TEST_CASE(
    "a configuration with invalid customers leaves the older one in force")
{
    keyed_deployment fixture(both);
    REQUIRE(fixture.wait_writes("kn1"));
    fixture.configure_customers(3, R"({"name":"north","apiKeys":["kn1"]},)"
                                   R"({"name":"south","apiKeys":["kn1"]})");
    fixture.configure_customers(4, std::string(north) +
                                       R"(,{"name":"west","apiKeys":["kw"]})");
    CHECK(wait_for(
        [&]
        {
            return fixture.m_instance.connect("loans", "kw").greeting() ==
                   "IDLE I -";
        }));
    CHECK(fixture.m_instance.connect("loans", "kn1").outcome("FETCH a") ==
          "COMPLETE");
}

TEST_CASE("an anonymous route needs no key")
{
    keyed_deployment fixture(both);
    REQUIRE(fixture.wait_writes("kn1"));
    fixture.configure_customers(3, both, true);
    CHECK(wait_for(
        [&]
        {
            return fixture.m_instance.connect("loans", "nobody").greeting() ==
                   "IDLE I -";
        }));
    CHECK(fixture.m_instance.connect("loans", "nobody").outcome("FETCH a") ==
          "COMPLETE");
    CHECK(fixture.ran_for("camphortide"));
}
