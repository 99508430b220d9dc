#include <map>
#include <optional>

#include <doctest/doctest.h>
#include <unistd.h>

#include <camphortide/proxy/http_server.hpp>
#include <camphortide/proxy/object_watch.hpp>
#include <camphortide/standin/text/text_platform.hpp>

namespace coordination = camphortide::coordination;
namespace platform = camphortide::platform;
namespace proxy = camphortide::proxy;
namespace standin = camphortide::standin;
namespace state = camphortide::state;
using platform::object_kind;

namespace
{

constexpr state::duration wait{200};
constexpr state::duration relist{300};

/// Nothing listens there.
std::string const dead_address = "127.0.0.1:1";

/// An instance's view of the operators' objects.
class follower
{
public:
    follower(boost::asio::io_context& context, std::string const& store,
             std::uint64_t process, state::duration between_listings = relist)
        : m_store(context, store),
          m_watch(context, m_store, object_kind::configuration, wait,
                  between_listings, process)
    {
    }

    void start()
    {
        m_watch.start(
            [this](auto const& news) { take(news); },
            [this](platform::store_outcome outcome, std::string const& peer)
            { m_last_state = std::pair(outcome, peer); });
    }

    void take(proxy::object_watch::news const& news)
    {
        if (news.m_whole)
        {
            m_objects.clear();
        }
        for (auto const& object : news.m_objects)
        {
            m_objects[object.m_name] = object;
            if (object.m_deleted)
            {
                m_objects.erase(object.m_name);
            }
        }
        if (news.m_proves)
        {
            m_proven = std::max(m_proven, news.m_asked);
        }
    }

    bool has(std::string const& name, std::string const& text) const
    {
        auto const place = m_objects.find(name);
        return place != m_objects.end() &&
               place->second.m_content.find(text) != std::string::npos;
    }

    proxy::store_client m_store;
    proxy::object_watch m_watch;
    std::map<std::string, platform::store_object> m_objects;
    state::time_point m_proven;
    std::optional<std::pair<platform::store_outcome, std::string>> m_last_state;
};

/// One instance that asks the store, and one that asks that instance and
/// can't reach the store.
struct pair_of_instances
{
    pair_of_instances()
    {
        m_server.on(proxy::news_path,
                    [this](platform::http_request const& request,
                           proxy::http_server::respond const& done)
                    {
                        auto const message =
                            proxy::decode_news_request(request.m_target);
                        REQUIRE(message);
                        m_first.m_watch.serve(*message, done);
                    });
        REQUIRE(m_server.listen(m_address));
        m_second.m_watch.set_order(
            {coordination::update_relay{"first", m_address}});
    }

    /// Lets both run until a state is reached, as long as a slow machine may
    /// take.
    bool run_until(std::function<bool()> const& condition)
    {
        auto const end = state::clock::now() + state::duration(40000);
        while (!condition() && state::clock::now() < end)
        {
            m_context.run_for(std::chrono::milliseconds(5));
            m_first.m_watch.tick(state::clock::now());
        }
        return condition();
    }

    standin::text_platform m_platform;
    boost::asio::io_context m_context;
    std::string m_address = "127.80." + std::to_string(::getpid() >> 8 & 255) +
                            '.' + std::to_string(::getpid() & 255) + ":7003";
    proxy::http_server m_server{m_context};
    follower m_first{m_context, m_platform.address(), 1001};
    follower m_second{m_context, dead_address, 1002};
};

} // namespace

TEST_CASE("an instance that can't reach the store hears all from another")
{
    pair_of_instances world;
    world.m_platform.put("config", "main", R"({"v":1})");
    world.m_platform.put("config", "other", R"({"v":2})");
    world.m_first.start();
    world.m_second.start();
    REQUIRE(world.run_until([&] { return world.m_second.has("other", "2"); }));
    CHECK(world.m_second.has("main", "1"));
    world.m_platform.put("config", "main", R"({"v":3})");
    CHECK(world.run_until([&] { return world.m_second.has("main", "3"); }));
    world.m_platform.remove("config", "other");
    CHECK(
        world.run_until([&] { return world.m_second.m_objects.size() == 1; }));
}

TEST_CASE("what is heard from another instance proves no more than there")
{
    pair_of_instances world;
    world.m_platform.put("config", "main", R"({"v":1})");
    world.m_first.start();
    world.m_second.start();
    REQUIRE(world.run_until([&] { return world.m_second.has("main", "1"); }));
    auto const begun = world.m_second.m_proven;
    // Proofs go on, and none is younger than what it rests on.
    REQUIRE(world.run_until(
        [&]
        {
            CHECK(world.m_second.m_proven <= world.m_first.m_proven);
            return world.m_second.m_proven > begun + relist * 3;
        }));
    world.m_platform.set_fault_mode(
        standin::text_platform::fault_mode::unavailable);
    REQUIRE(world.run_until(
        [&]
        {
            return world.m_first.m_last_state &&
                   world.m_first.m_last_state->first !=
                       platform::store_outcome::done;
        }));
    auto const last = world.m_first.m_proven;
    auto const until = state::clock::now() + wait * 4;
    world.run_until([&] { return state::clock::now() > until; });
    CHECK(world.m_second.m_proven <= last);
}

TEST_CASE("a store that returns is heard of again")
{
    pair_of_instances world;
    world.m_platform.put("config", "main", R"({"v":1})");
    world.m_platform.set_fault_mode(
        standin::text_platform::fault_mode::unavailable);
    world.m_first.start();
    world.m_second.start();
    REQUIRE(world.run_until(
        [&] { return world.m_second.m_last_state.has_value(); }));
    CHECK(world.m_second.m_objects.empty());
    world.m_platform.set_fault_mode(standin::text_platform::fault_mode::none);
    CHECK(world.run_until([&] { return world.m_second.has("main", "1"); }));
}

TEST_CASE("an instance that hears nothing from the store says so at once")
{
    pair_of_instances world;
    world.m_platform.put("config", "main", R"({"v":1})");
    world.m_first.start();
    world.m_second.start();
    REQUIRE(world.run_until([&] { return world.m_second.has("main", "1"); }));
    world.m_platform.set_fault_mode(
        standin::text_platform::fault_mode::unavailable);
    std::optional<unsigned> status;
    REQUIRE(world.run_until(
        [&]
        {
            // A question that would wait for ever if news were awaited.
            status.reset();
            world.m_first.m_watch.serve(
                {object_kind::configuration, {1001, 1}, state::duration(30000)},
                [&](platform::http_response const& answer)
                { status = answer.m_status; });
            return status.has_value();
        }));
    CHECK(status == 503);
}

TEST_CASE("a watch that stays silent is followed by a listing")
{
    standin::text_platform store;
    store.put("config", "main", R"({"v":1})");
    boost::asio::io_context context;
    // It lists when it has to, not from time to time.
    follower one(context, store.address(), 1, state::duration(0));
    one.start();
    auto const run_until = [&](std::function<bool()> const& condition)
    {
        auto const end = state::clock::now() + state::duration(40000);
        while (!condition() && state::clock::now() < end)
        {
            context.run_for(std::chrono::milliseconds(5));
        }
        return condition();
    };
    REQUIRE(run_until([&] { return one.has("main", "1"); }));
    store.set_fault_mode(
        standin::text_platform::fault_mode::unanswered_watches);
    store.put("config", "main", R"({"v":2})");
    CHECK(run_until([&] { return one.has("main", "2"); }));
}

TEST_CASE("instances that ask each other in a ring find an end")
{
    standin::text_platform store;
    store.put("config", "main", R"({"v":1})");
    boost::asio::io_context context;
    std::size_t questions = 0;
    std::vector<std::unique_ptr<follower>> ring;
    std::vector<std::string> addresses;
    for (int number = 0; number < 3; ++number)
    {
        ring.push_back(std::make_unique<follower>(
            context, store.address(), static_cast<std::uint64_t>(number + 1)));
        addresses.push_back("127.8" + std::to_string(number + 1) + '.' +
                            std::to_string(::getpid() >> 8 & 255) + '.' +
                            std::to_string(::getpid() & 255) + ":7003");
    }
    std::vector<std::unique_ptr<proxy::http_server>> servers;
    for (std::size_t number = 0; number < 3; ++number)
    {
        servers.push_back(std::make_unique<proxy::http_server>(context));
        servers.back()->on(
            proxy::news_path,
            [&, number](platform::http_request const& request,
                        proxy::http_server::respond const& done)
            {
                ++questions;
                ring[number]->m_watch.serve(
                    *proxy::decode_news_request(request.m_target), done);
            });
        REQUIRE(servers.back()->listen(addresses[number]));
    }
    auto const run_for = [&](state::duration time)
    {
        auto const end = state::clock::now() + time;
        while (state::clock::now() < end)
        {
            context.run_for(std::chrono::milliseconds(5));
            for (auto const& each : ring)
            {
                each->m_watch.tick(state::clock::now());
            }
        }
    };
    for (auto const& each : ring)
    {
        each->start();
        // Their waits end at different times.
        run_for(wait / 3);
    }
    while (ring[0]->m_objects.empty() || ring[1]->m_objects.empty() ||
           ring[2]->m_objects.empty())
    {
        run_for(state::duration(10));
    }
    for (std::size_t number = 0; number < 3; ++number)
    {
        ring[number]->m_watch.set_order(
            {coordination::update_relay{"next", addresses[(number + 1) % 3]}});
    }
    run_for(state::duration(2000));
    // Each waits 200 ms for an answer: some ten questions in two seconds.
    CHECK(questions <= 60);
}
