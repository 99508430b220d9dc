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

/// Address on which nothing listens.
std::string const unused_address = "127.0.0.1:1";

/// An instance's copy of the operators' objects.
class follower
{
public:
    follower(boost::asio::io_context& context, std::string const& store,
             std::uint64_t process, state::duration between_listings = relist)
        : m_store(context, store),
          m_watch(context, m_store, object_kind::configuration, wait,
                  between_listings, process, m_budget)
    {
    }

    void start()
    {
        m_watch.start(
            [this](auto const& update) { apply(update); },
            [this](platform::store_outcome outcome, std::string const& peer)
            { m_last_status = std::pair(outcome, peer); });
    }

    void apply(proxy::object_watch::update const& update)
    {
        if (update.m_snapshot)
        {
            m_objects.clear();
        }
        for (auto const& object : update.m_objects)
        {
            m_objects[object.m_name] = object;
            if (object.m_deleted)
            {
                m_objects.erase(object.m_name);
            }
        }
        if (update.m_verified)
        {
            m_verified_at = std::max(m_verified_at, update.m_requested_at);
        }
    }

    bool has(std::string const& name, std::string const& text) const
    {
        auto const found = m_objects.find(name);
        return found != m_objects.end() &&
               found->second.m_content.find(text) != std::string::npos;
    }

    proxy::store_client m_store;
    coordination::transfer_budget m_budget{std::uint64_t{1} << 30};
    proxy::object_watch m_watch;
    std::map<std::string, platform::store_object> m_objects;
    state::time_point m_verified_at;
    std::optional<std::pair<platform::store_outcome, std::string>>
        m_last_status;
};

/// Two instances: the first follows the store; the second can't reach the store
/// and uses the first as a relay.
struct pair_of_instances
{
    pair_of_instances()
    {
        m_server.set_handler(proxy::updates_path,
                             [this](platform::http_request const& request,
                                    proxy::http_server::responder const& done)
                             {
                                 auto const message =
                                     proxy::decode_update_request(
                                         request.m_target);
                                 REQUIRE(message);
                                 m_first.m_watch.serve(*message, done);
                             });
        REQUIRE(m_server.listen(m_address));
        m_second.m_watch.set_order(
            {coordination::update_relay{"first", m_address}});
    }

    /// Runs both instances until a condition holds.
    /// @return false if it doesn't hold in time; the limit allows for a slow
    ///     machine
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
    follower m_second{m_context, unused_address, 1002};
};

} // namespace

TEST_CASE("an instance without the store gets all updates from a relay")
{
    pair_of_instances instances;
    instances.m_platform.put("config", "main", R"({"v":1})");
    instances.m_platform.put("config", "other", R"({"v":2})");
    instances.m_first.start();
    instances.m_second.start();
    REQUIRE(instances.run_until(
        [&] { return instances.m_second.has("other", "2"); }));
    CHECK(instances.m_second.has("main", "1"));
    instances.m_platform.put("config", "main", R"({"v":3})");
    CHECK(instances.run_until([&]
                              { return instances.m_second.has("main", "3"); }));
    instances.m_platform.remove("config", "other");
    CHECK(instances.run_until(
        [&] { return instances.m_second.m_objects.size() == 1; }));
}

TEST_CASE("updates of a relay are verified no later than at the relay")
{
    pair_of_instances instances;
    instances.m_platform.put("config", "main", R"({"v":1})");
    instances.m_first.start();
    instances.m_second.start();
    REQUIRE(instances.run_until(
        [&] { return instances.m_second.has("main", "1"); }));
    auto const begun = instances.m_second.m_verified_at;
    // The verified time keeps advancing and never exceeds the relay's.
    REQUIRE(instances.run_until(
        [&]
        {
            CHECK(instances.m_second.m_verified_at <=
                  instances.m_first.m_verified_at);
            return instances.m_second.m_verified_at > begun + relist * 3;
        }));
    instances.m_platform.set_fault_mode(
        standin::text_platform::fault_mode::unavailable);
    REQUIRE(instances.run_until(
        [&]
        {
            return instances.m_first.m_last_status &&
                   instances.m_first.m_last_status->first !=
                       platform::store_outcome::done;
        }));
    auto const last = instances.m_first.m_verified_at;
    auto const until = state::clock::now() + wait * 4;
    instances.run_until([&] { return state::clock::now() > until; });
    CHECK(instances.m_second.m_verified_at <= last);
}

// Guards against changes that are taken for old ones, as the store gives out
// again the revisions of lost changes.
TEST_CASE("changes after the store came back from a copy reach all instances")
{
    pair_of_instances instances;
    instances.m_platform.put("config", "main", R"({"v":1})");
    instances.m_platform.put("config", "kept", R"({"v":1})");
    instances.m_platform.keep_copy();
    instances.m_first.start();
    instances.m_second.start();
    auto const both_have = [&](std::string const& name, std::string const& text)
    {
        return instances.m_first.has(name, text) &&
               instances.m_second.has(name, text);
    };
    for (int version = 10; version < 20; ++version)
    {
        instances.m_platform.put("config", "main",
                                 R"({"v":)" + std::to_string(version) + '}');
    }
    instances.m_platform.put("config", "lost", R"({"v":1})");
    REQUIRE(instances.run_until([&] { return both_have("lost", "1"); }));
    SUBCASE("with fewer changes than were lost")
    {
        instances.m_platform.restore_copy();
    }
    SUBCASE("with as many changes as were lost before the next request")
    {
        instances.m_platform.restore_copy();
        for (int version = 20; version < 40; ++version)
        {
            instances.m_platform.put(
                "config", "main", R"({"v":)" + std::to_string(version) + '}');
        }
    }
    SUBCASE("twice")
    {
        instances.m_platform.restore_copy();
        instances.m_platform.put("config", "main", R"({"v":45})");
        REQUIRE(instances.run_until([&] { return both_have("main", "45"); }));
        instances.m_platform.restore_copy();
    }
    instances.m_platform.put("config", "main", R"({"v":50})");
    CHECK(instances.run_until([&] { return both_have("main", "50"); }));
    CHECK(both_have("kept", "1"));
    CHECK_FALSE(instances.m_first.has("lost", "1"));
    CHECK_FALSE(instances.m_second.has("lost", "1"));
    instances.m_platform.put("config", "lost", R"({"v":2})");
    CHECK(instances.run_until([&] { return both_have("lost", "2"); }));
}

TEST_CASE("updates resume when the store is available again")
{
    pair_of_instances instances;
    instances.m_platform.put("config", "main", R"({"v":1})");
    instances.m_platform.set_fault_mode(
        standin::text_platform::fault_mode::unavailable);
    instances.m_first.start();
    instances.m_second.start();
    REQUIRE(instances.run_until(
        [&] { return instances.m_second.m_last_status.has_value(); }));
    CHECK(instances.m_second.m_objects.empty());
    instances.m_platform.set_fault_mode(
        standin::text_platform::fault_mode::none);
    CHECK(instances.run_until([&]
                              { return instances.m_second.has("main", "1"); }));
}

TEST_CASE("a relay without responses of the store rejects requests at once")
{
    pair_of_instances instances;
    instances.m_platform.put("config", "main", R"({"v":1})");
    instances.m_first.start();
    instances.m_second.start();
    REQUIRE(instances.run_until(
        [&] { return instances.m_second.has("main", "1"); }));
    instances.m_platform.set_fault_mode(
        standin::text_platform::fault_mode::unavailable);
    std::optional<unsigned> status;
    REQUIRE(instances.run_until(
        [&]
        {
            // The cursor is the current one: a relay that reaches the store
            // would let this request wait for an update.
            status.reset();
            instances.m_first.m_watch.serve(
                {object_kind::configuration, {1001, 1}, state::duration(30000)},
                [&](platform::http_response const& response)
                { status = response.m_status; });
            return status.has_value();
        }));
    CHECK(status == 503);
}

TEST_CASE("a watch without a response is followed by a listing")
{
    standin::text_platform store;
    store.put("config", "main", R"({"v":1})");
    boost::asio::io_context context;
    // It lists only when necessary, not periodically.
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

TEST_CASE("instances that are relays in a ring don't respond endlessly")
{
    standin::text_platform store;
    store.put("config", "main", R"({"v":1})");
    boost::asio::io_context context;
    std::size_t requests = 0;
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
        servers.back()->set_handler(
            proxy::updates_path,
            [&, number](platform::http_request const& request,
                        proxy::http_server::responder const& done)
            {
                ++requests;
                ring[number]->m_watch.serve(
                    *proxy::decode_update_request(request.m_target), done);
            });
        REQUIRE(servers.back()->listen(addresses[number]));
    }
    auto const run_for = [&](state::duration time)
    {
        auto const end = state::clock::now() + time;
        while (state::clock::now() < end)
        {
            context.run_for(std::chrono::milliseconds(5));
            for (auto const& instance : ring)
            {
                instance->m_watch.tick(state::clock::now());
            }
        }
    };
    for (auto const& instance : ring)
    {
        instance->start();
        // Starts them at different times, so that their waits end at
        // different times.
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
    // Each request waits 200 ms: about ten requests per instance in two
    // seconds.
    CHECK(requests <= 60);
}

TEST_CASE("a response that can't be parsed is reported as unreadable")
{
    pair_of_instances instances;
    instances.m_platform.put("config", "main", "}");
    instances.m_first.start();
    CHECK(instances.run_until(
        [&]
        {
            return instances.m_first.m_last_status &&
                   instances.m_first.m_last_status->first ==
                       platform::store_outcome::unreadable;
        }));
}

TEST_CASE("a listing goes on after a page that ends with an odd name")
{
    pair_of_instances instances;
    instances.m_platform.set_page_size(2);
    auto const names = {"a", "b c&d=1#%", "b/e?f", "m", "m\r\nX: y", "z"};
    for (auto const* const name : names)
    {
        instances.m_platform.put("config", name, R"({"v":1})");
    }
    instances.m_first.start();
    CHECK(instances.run_until([&] { return instances.m_first.has("z", "1"); }));
    CHECK(instances.m_first.m_objects.size() == names.size());
}

TEST_CASE("a page that names no object to continue after doesn't end a listing")
{
    boost::asio::io_context context;
    proxy::http_server server(context);
    auto const address = "127.81." + std::to_string(::getpid() >> 8 & 255) +
                         '.' + std::to_string(::getpid() & 255) + ":7003";
    server.set_handler("/camphortide/objects/config",
                       [](platform::http_request const&,
                          proxy::http_server::responder const& respond)
                       {
                           respond({200, R"({"items":["no object"],)"
                                         R"("hasMore":true,"at":9})"});
                       });
    REQUIRE(server.listen(address));
    follower instance(context, address, 1003);
    instance.start();
    auto const end = state::clock::now() + state::duration(40000);
    while (!instance.m_last_status && state::clock::now() < end)
    {
        context.run_for(std::chrono::milliseconds(5));
    }
    REQUIRE(instance.m_last_status);
    CHECK(instance.m_last_status->first == platform::store_outcome::unreadable);
    CHECK(instance.m_verified_at == state::time_point());
}
