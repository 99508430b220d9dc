#include "../support/holding_link.hpp"
#include "../support/proxy_fixture.hpp"

#include <algorithm>
#include <map>

#include <doctest/doctest.h>

using tests::deployment;
using tests::holding_link;
using tests::running_instance;
using tests::wait_for;

namespace
{

/// Three instances, each with a link of its own to the promotion service.
class linked_instances
{
public:
    linked_instances()
    {
        auto const& platform = m_fixture.m_platform.address();
        for (int number = 1; number <= 3; ++number)
        {
            m_links[number] = std::make_unique<holding_link>(platform);
            m_instances[number] = std::make_unique<running_instance>(
                platform, number, m_links[number]->address());
        }
        for (auto const& each : m_instances)
        {
            REQUIRE(each.second->wait_writes());
        }
        REQUIRE(wait_for([this] { return m_fixture.duty_holder() != 0; }));
    }

    /// Stops the holder of the duty while its link holds a promotion request.
    /// @return the link
    holding_link& stop_holder_with_held_request()
    {
        auto const holder = m_fixture.duty_holder();
        auto& link = *m_links.at(holder);
        // The connection of this promotion is used for the next.
        m_fixture.replace_primary();
        link.hold();
        m_fixture.drain_primary();
        REQUIRE(wait_for([&] { return link.keeps_requests(); }));
        m_instances.erase(holder);
        return link;
    }

    deployment& fixture() { return m_fixture; }

private:
    deployment m_fixture;
    std::map<int, std::unique_ptr<holding_link>> m_links;
    std::map<int, std::unique_ptr<running_instance>> m_instances;
};

} // namespace

// Guards against a promotion request that was given up and arrives after the
// next holder of the duty has requested one.
TEST_CASE("no promotion request arrives after one with a higher token")
{
    linked_instances instances;
    auto const& platform = instances.fixture().m_platform;
    auto const before = platform.promotion_calls().size();
    auto& link = instances.stop_holder_with_held_request();
    REQUIRE(wait_for(
        [&] { return platform.promotion_calls().size() > before + 1; }));
    link.release();
    std::this_thread::sleep_for(std::chrono::milliseconds(500));
    auto const calls = platform.promotion_calls();
    CHECK(calls.back().m_token > calls.front().m_token);
    CHECK(std::ranges::is_sorted(
        calls, {}, [](auto const& call) { return call.m_token; }));
}
