#include <condition_variable>
#include <deque>
#include <future>
#include <mutex>

#include <doctest/doctest.h>

#include <camphortide/standin/platform/platform_standin.hpp>
#include <camphortide/transport/platform/backoff.hpp>
#include <camphortide/transport/platform/platform_client.hpp>

namespace standin = camphortide::standin;
namespace transport = camphortide::transport;
using camphortide::state::duration;
using transport::failure_of;
using transport::platform_failure;

namespace
{

/// Runs one call of the client and waits for its result.
template <typename Value, typename Call>
absl::StatusOr<Value> wait(Call const& call)
{
    std::promise<absl::StatusOr<Value>> promise;
    call([&promise](absl::StatusOr<Value> result)
         { promise.set_value(std::move(result)); });
    return promise.get_future().get();
}

struct fixture
{
    standin::platform_standin m_platform;
    std::string m_address = m_platform.listen("127.0.0.1:0").value();
    transport::platform_client m_client{m_address, duration(5000)};

    absl::StatusOr<transport::platform_object> get(std::string const& name)
    {
        return wait<transport::platform_object>([&](auto done)
                                                { m_client.get(name, done); });
    }

    absl::StatusOr<transport::platform_object>
    put(std::string const& name, std::uint64_t version, std::string value)
    {
        return wait<transport::platform_object>(
            [&](auto done) { m_client.put(name, version, value, done); });
    }
};

/// Collects the events of a watch and waits for them.
class watch_log
{
public:
    transport::watch_handlers handlers()
    {
        return {[this](transport::platform_change change)
                {
                    std::scoped_lock const lock(m_mutex);
                    m_changes.push_back(std::move(change));
                    m_updated.notify_all();
                },
                [this](bool connected)
                {
                    std::scoped_lock const lock(m_mutex);
                    ++(connected ? m_opened : m_broken);
                    m_updated.notify_all();
                }};
    }

    transport::platform_change next()
    {
        std::unique_lock lock(m_mutex);
        m_updated.wait(lock, [this] { return !m_changes.empty(); });
        auto change = std::move(m_changes.front());
        m_changes.pop_front();
        return change;
    }

    void await_opened(int count)
    {
        std::unique_lock lock(m_mutex);
        m_updated.wait(lock, [&] { return m_opened >= count; });
    }

    void await_broken(int count)
    {
        std::unique_lock lock(m_mutex);
        m_updated.wait(lock, [&] { return m_broken >= count; });
    }

private:
    std::mutex m_mutex;
    std::condition_variable m_updated;
    std::deque<transport::platform_change> m_changes;
    int m_opened = 0;
    int m_broken = 0;
};

} // namespace

TEST_CASE_FIXTURE(fixture, "objects are read, changed and deleted by version")
{
    CHECK(failure_of(get("a").status()) == platform_failure::not_found);
    REQUIRE(put("a", 0, "one").ok());
    CHECK(get("a").value() == transport::platform_object{"a", 1, "one"});
    CHECK(failure_of(put("a", 0, "two").status()) ==
          platform_failure::conflict);
    CHECK(failure_of(put("", 0, "x").status()) == platform_failure::refused);
    auto const all = wait<transport::platform_objects>(
        [&](auto done) { m_client.list("", done); });
    CHECK(all.value().m_objects.size() == 1);
    CHECK(all.value().m_version == 1);
    auto const erased =
        wait<std::uint64_t>([&](auto done) { m_client.erase("a", 1, done); });
    CHECK(erased.value() == 2);
}

TEST_CASE_FIXTURE(fixture,
                  "a lost reply to a change is reported as an unknown effect")
{
    m_platform.lose_replies(1);
    CHECK(failure_of(put("a", 0, "one").status()) ==
          platform_failure::unknown_effect);
    CHECK(get("a").value().m_value == "one");
}

TEST_CASE_FIXTURE(fixture,
                  "outages, rate limits and timeouts are distinguished")
{
    m_platform.set_outage(true);
    CHECK(failure_of(get("a").status()) == platform_failure::unavailable);
    CHECK(failure_of(put("a", 0, "x").status()) ==
          platform_failure::unknown_effect);
    m_platform.set_outage(false);
    m_platform.set_rates({1, 0});
    CHECK(failure_of(get("a").status()) == platform_failure::not_found);
    CHECK(failure_of(get("a").status()) == platform_failure::rate_limited);
    m_platform.set_rates({});
    m_platform.set_delay(duration(200));
    transport::platform_client short_timeout_client(m_address, duration(20));
    auto const delayed = wait<transport::platform_object>(
        [&](auto done) { short_timeout_client.get("a", done); });
    CHECK(failure_of(delayed.status()) == platform_failure::unavailable);
}

TEST_CASE_FIXTURE(fixture, "a stopped platform is unavailable")
{
    m_platform.stop();
    CHECK(failure_of(get("a").status()) == platform_failure::unavailable);
}

TEST_CASE_FIXTURE(fixture, "a second stand-in cannot listen on the same port")
{
    standin::platform_standin second;
    CHECK(second.listen(m_address).status().code() ==
          absl::StatusCode::kUnavailable);
}

TEST_CASE_FIXTURE(fixture, "a reconnected watch misses no change")
{
    watch_log log;
    auto watch = m_client.watch("c/", 0, log.handlers());
    log.await_opened(1);
    CHECK(m_platform.counts().m_open_watches == 1);
    m_platform.put("c/a", 0, "1");
    m_platform.put("other", 0, "1");
    CHECK(log.next().m_object.m_name == "c/a");

    m_platform.set_outage(true);
    log.await_broken(1);
    m_platform.put("c/b", 0, "1");
    m_platform.set_outage(false);
    log.await_opened(2);
    auto const missed = log.next();
    CHECK(missed.m_object == transport::platform_object{"c/b", 3, "1"});
    m_platform.put("c/a", 1, "2");
    CHECK(log.next().m_object.m_value == "2");
    watch.reset();
}

TEST_CASE_FIXTURE(fixture, "the list of instances includes leaving instances")
{
    m_platform.set_instance({"entry-1", "leon", "127.0.0.1:1", false});
    m_platform.set_instance({"entry-2", "celaya", "127.0.0.1:2", true});
    auto const all = wait<std::vector<transport::platform_instance>>(
        [&](auto done) { m_client.list_instances(done); });
    REQUIRE(all.value().size() == 2);
    CHECK_FALSE(all.value()[0].m_leaving);
    CHECK(all.value()[1] == transport::platform_instance{"entry-2", "celaya",
                                                         "127.0.0.1:2", true});
}

TEST_CASE("the client cancels running calls when it closes")
{
    standin::platform_standin platform;
    auto const address = platform.listen("127.0.0.1:0").value();
    platform.set_delay(duration(3'600'000));
    std::promise<absl::Status> ended;
    {
        transport::platform_client client(address, duration(3'600'000));
        client.get("a",
                   [&](absl::StatusOr<transport::platform_object> const& result)
                   { ended.set_value(result.status()); });
    }
    CHECK(failure_of(ended.get_future().get()) == platform_failure::cancelled);
    platform.stop();
}

TEST_CASE("backoff doubles up to the limit and stays within each step")
{
    transport::backoff backoff(duration(100), duration(400));
    CHECK(backoff.next(0) == duration(50));
    CHECK(backoff.next(100) == duration(200));
    CHECK(backoff.next(0) == duration(200));
    CHECK(backoff.next(200) == duration(400));
    backoff.reset();
    CHECK(backoff.next(50) == duration(100));
}
