#include "small_deployment.hpp"

#include <algorithm>
#include <atomic>
#include <thread>
#include <vector>

#include <doctest/doctest.h>

namespace standin = camphortide::standin;
namespace tests = camphortide::tests;
namespace v1 = camphortide::v1;

namespace
{

constexpr std::chrono::seconds max_wait{20};
constexpr std::chrono::milliseconds settling_time{2500};
/// Longer than membership takes to remove an unresponsive instance.
constexpr std::chrono::milliseconds removal_time{6500};
constexpr std::uint32_t connections = 6;
constexpr int caller_count = 10;

/// Callers that read and write at one instance until stopped.
class traffic
{
public:
    explicit traffic(std::string const& address)
    {
        for (int i = 0; i < caller_count; ++i)
        {
            m_threads.emplace_back([this, address, i] { run(address, i); });
        }
    }

    void stop()
    {
        m_stopped = true;
        for (auto& each : m_threads)
        {
            each.join();
        }
        m_threads.clear();
    }

    ~traffic() { stop(); }

    std::atomic<int> m_succeeded{0};
    std::atomic<int> m_refused{0}; ///< because of a limit or without a home

private:
    void run(std::string const& address, int number)
    {
        tests::session caller(address);
        auto const name = "caller-" + std::to_string(number);
        for (int i = 0; !m_stopped; ++i)
        {
            auto const status =
                i % 2 == 0 ? caller.read("get count")
                           : caller.write("add count 1",
                                          name + "-" + std::to_string(i));
            m_succeeded += status.ok() ? 1 : 0;
            auto const reason = tests::failure_of(status).reason();
            bool const refused = reason == v1::REASON_NO_HOME ||
                                 reason == v1::REASON_RATE_LIMIT ||
                                 reason == v1::REASON_CONCURRENCY_LIMIT;
            m_refused += !status.ok() && refused ? 1 : 0;
        }
    }

    std::atomic<bool> m_stopped{false};
    std::vector<std::thread> m_threads;
};

camphortide::transport::deployment limited_deployment()
{
    auto result = tests::small_deployment(4, 2);
    result.m_groups[0].m_connections = connections;
    result.m_entries[0].m_limits.m_connections = connections;
    result.m_groups[0].m_statement_time = std::chrono::milliseconds(2);
    return result;
}

/// @return the running instances that are homes of the group
std::vector<std::string> homes_of(standin::running_deployment const& running)
{
    std::vector<std::string> homes;
    for (auto const& name : running.running())
    {
        if (running.instance(name)->knows_primary("loans"))
        {
            homes.push_back(name);
        }
    }
    return homes;
}

std::string non_home_of(standin::running_deployment const& running)
{
    auto const homes = homes_of(running);
    for (auto const& name : running.running())
    {
        if (std::ranges::count(homes, name) == 0)
        {
            return name;
        }
    }
    return {};
}

void check_members(standin::running_deployment& running)
{
    for (auto const* const member : {"a", "b", "c"})
    {
        CAPTURE(member);
        auto const counts = running.group("loans").connections(member);
        CHECK(counts.m_refused == 0);
        CHECK(counts.m_max_open <= connections);
    }
}

void wait(std::chrono::milliseconds time)
{
    std::this_thread::sleep_for(time);
}

} // namespace

TEST_CASE("members refuse no connection while homes change")
{
    standin::running_deployment running(limited_deployment(), tests::token_key);
    REQUIRE(running.wait_ready(max_wait));
    wait(settling_time);
    auto const entry = non_home_of(running);
    REQUIRE_FALSE(entry.empty());
    traffic callers(running.caller_address(entry));
    wait(settling_time);
    auto const before = callers.m_succeeded.load();
    CHECK(before > 0);
    auto const affected_home = homes_of(running).front();

    SUBCASE("a home is killed, replaced and restarted")
    {
        running.kill_instance(affected_home);
        wait(removal_time);
        CHECK(running.start_instance(affected_home));
        wait(settling_time);
    }
    SUBCASE("a home is killed while the store is down")
    {
        running.platform().set_outage(true);
        running.kill_instance(affected_home);
        wait(removal_time);
        running.platform().set_outage(false);
        wait(settling_time);
    }
    SUBCASE("a home is drained")
    {
        CHECK(running.drain_instance(affected_home));
        wait(settling_time);
    }
    SUBCASE("a home is drained while the store is slow")
    {
        running.platform().set_delay(std::chrono::milliseconds(500));
        CHECK(running.drain_instance(affected_home));
        wait(settling_time);
    }
    CHECK(callers.m_succeeded.load() > before);
    callers.stop();
    CHECK(callers.m_refused.load() == 0);
    check_members(running);
}
