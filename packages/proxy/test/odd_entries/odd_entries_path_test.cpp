#include "../support/proxy_fixture.hpp"

#include <array>
#include <string>
#include <vector>

#include <doctest/doctest.h>

namespace
{

using namespace tests;

constexpr std::size_t nesting_depth = 400000;

std::string entry(std::string const& slots, std::string const& address)
{
    std::string text = R"({"service":"g","address":)";
    text += address;
    text += R"(,"zone":"dc","version":"v1","slots":)";
    text += slots;
    text += R"(,"state":"in_service","coldRemainingMs":0,)"
            R"("dbRole":"primary","sequence":1})";
    return text;
}

/// @return entries of another writer with an odd field each
std::vector<std::string> odd_entries()
{
    std::string const address = R"("127.0.0.1:1")";
    return {
        entry(std::string(nesting_depth, '[') + std::string(nesting_depth, ']'),
              address),
        entry("1e999", address),
        entry("1e300", address),
        entry("18446744073709551616", address),
        entry("2", R"("127.0.0.1:65536")"),
        entry("2", R"("127.0.0.1:99999999999999999999")"),
        entry("2", R"("\ud83d")"),
        entry("2", "\"\xff\""),
        entry("[2]", address),
        entry("2", "7")};
}

/// Leaves all odd entries among the objects of each kind.
void add_odd_entries(deployment& all)
{
    int number = 0;
    for (auto const& each : odd_entries())
    {
        auto const suffix = std::to_string(++number);
        for (auto const* const kind : {"servers", "config", "camphortide"})
        {
            // Before and after the names of the other objects.
            all.m_platform.put(kind, "a-odd-" + suffix, each);
            all.m_platform.put(kind, "z-odd-" + suffix, each);
        }
    }
}

/// @return true once an instance serves writes to a database
bool serves(running_instance& instance, std::string const& database)
{
    return wait_for(
        [&]
        {
            auto caller = instance.connect(database);
            return caller.greeting().starts_with("IDLE") &&
                   caller.outcome("STORE a 1") == "COMPLETE";
        });
}

} // namespace

TEST_CASE("instances that run or start beside odd entries follow the "
          "configuration and the members")
{
    deployment all;
    running_instance watcher(all.m_platform.address(), 1);
    running_instance follower(all.m_platform.address(), 2);
    REQUIRE(watcher.wait_writes());
    REQUIRE(follower.wait_writes());
    add_odd_entries(all);
    running_instance started(all.m_platform.address(), 3);
    REQUIRE(started.wait_writes());
    all.configure(2, "read_your_writes", "toys");
    for (auto* const each : {&watcher, &follower, &started})
    {
        CHECK(serves(*each, "toys"));
    }
    // The primary leaves.
    auto leaving = all.m_platform.get("servers", "m1");
    leaving.replace(leaving.find("in_service"), 10, "draining");
    all.m_platform.put("servers", "m1", leaving);
    CHECK(wait_for([&] { return all.m_group.primary() != "m1"; }));
    for (auto* const each : {&watcher, &follower, &started})
    {
        CHECK(serves(*each, "toys"));
    }
}

TEST_CASE("an instance registers in place of an odd entry of its name")
{
    deployment all;
    all.m_platform.put("camphortide", "instance.edge-1",
                       R"({"type":"instance","name":7})");
    running_instance instance(all.m_platform.address(), 1);
    CHECK(instance.wait_writes());
}
