#include <doctest/doctest.h>
#include <unistd.h>

#include <camphortide/proxy/home_router.hpp>
#include <camphortide/proxy/home_server.hpp>
#include <camphortide/proxy/traffic.hpp>

namespace coordination = camphortide::coordination;
namespace proxy = camphortide::proxy;
namespace state = camphortide::state;
using coordination::sent_kind;
using proxy::statement_request;
using proxy::statement_result;
using state::statement_error;

namespace
{

/// A home whose members answer when the test says so.
class home final : public proxy::home_host
{
public:
    home(boost::asio::io_context& context, int number)
        : m_address("127." + std::to_string(84 + number) + '.' +
                    std::to_string(::getpid() >> 8 & 255) + '.' +
                    std::to_string(::getpid() & 255) + ":7004"),
          m_server(std::make_unique<proxy::home_server>(context, *this))
    {
    }

    bool start() { return m_server->listen(m_address); }
    /// Ends its process.
    void end() { m_server.reset(); }

    bool is_home(std::string const&) const override { return m_is_home; }
    void run_here(std::shared_ptr<statement_request> const& request) override
    {
        m_requests.push_back(request);
    }
    void roll_back(std::string const&, proxy::bound_connection const&) override
    {
        ++m_rolled_back;
    }

    /// Answers the last statement.
    void answer(std::string const& row, bool in_transaction = false)
    {
        statement_result result;
        result.m_reply.m_rows = {row};
        if (in_transaction)
        {
            result.m_bound = proxy::bound_connection{};
        }
        auto const done = std::exchange(m_requests.back()->m_done, nullptr);
        done(std::move(result));
    }

    std::string m_address;
    std::unique_ptr<proxy::home_server> m_server;
    bool m_is_home = true;
    std::vector<std::shared_ptr<statement_request>> m_requests;
    int m_rolled_back = 0;
};

class silent_report final : public proxy::traffic_report
{
public:
    void statement_ended(proxy::statement_end const&) override {}
    void statement_sent_again(std::string const&, statement_request const&,
                              std::string const&) override
    {
        ++m_sent_again;
    }
    void refused_here(std::string const&, std::string const&,
                      state::statement_failure const&) override
    {
    }
    void member_reached(std::string const&, std::string const&, bool) override
    {
    }
    void primary_unreachable(std::string const&, std::string const&) override {}
    void primary_closed(std::string const&, std::uint64_t) override {}

    int m_sent_again = 0;
};

/// One instance before the two homes of its only group.
struct two_homes
{
    two_homes()
    {
        proxy::fleet_view view;
        view.m_homes["group"] = {
            2, false, {{"h1", m_first.m_address}, {"h2", m_second.m_address}}};
        m_router.apply(view);
        auto configuration = std::make_shared<state::configuration>();
        state::route route;
        route.m_group = "group";
        route.m_target_latency = m_target;
        configuration->m_routes["loans"] = route;
        m_configuration = std::move(configuration);
    }

    std::shared_ptr<statement_request> submit(sent_kind kind)
    {
        auto request = std::make_shared<statement_request>();
        request->m_configuration = m_configuration;
        request->m_route = &m_configuration->m_routes.at("loans");
        request->m_statement.m_id = "id";
        request->m_statement.m_text = "FETCH item";
        request->m_kind = kind;
        request->m_bound = m_bound;
        request->m_arrived = request->m_read_from = state::clock::now();
        request->m_latest = request->m_arrived + m_target * 2;
        request->m_done = [this](statement_result result)
        {
            m_bound = result.m_bound;
            m_result = std::move(result);
        };
        m_result.reset();
        m_router.submit(request);
        return request;
    }

    /// Lets all run until a state is reached, as long as a slow machine may
    /// take.
    bool run_until(std::function<bool()> const& condition)
    {
        auto const end = state::clock::now() + state::duration(40000);
        while (!condition() && state::clock::now() < end)
        {
            m_context.run_for(std::chrono::milliseconds(5));
            m_router.sweep(state::clock::now());
        }
        return condition();
    }

    bool arrives(home const& where, std::size_t count = 1)
    {
        return run_until([&] { return where.m_requests.size() == count; });
    }

    bool ends()
    {
        return run_until([&] { return m_result.has_value(); });
    }

    state::duration m_target{20000}; ///< longer than any test takes
    boost::asio::io_context m_context;
    silent_report m_report;
    home m_first{m_context, 1};
    home m_second{m_context, 2};
    std::shared_ptr<state::configuration const> m_configuration;
    std::optional<proxy::bound_connection> m_bound;
    std::optional<statement_result> m_result;
    proxy::home_router m_router{m_context, m_report};
};

} // namespace

TEST_CASE("a statement is run by the first home")
{
    two_homes world;
    REQUIRE(world.m_first.start());
    world.submit(sent_kind::single_read);
    REQUIRE(world.arrives(world.m_first));
    CHECK(world.m_first.m_requests[0]->m_statement.m_text == "FETCH item");
    world.m_first.answer("ROW 1");
    REQUIRE(world.ends());
    CHECK(world.m_result->m_reply.m_rows == std::vector<std::string>{"ROW 1"});
    CHECK_FALSE(world.m_bound);
}

TEST_CASE("what one instance doesn't take goes to the next home")
{
    two_homes world;
    REQUIRE(world.m_second.start());
    SUBCASE("it isn't a home")
    {
        REQUIRE(world.m_first.start());
        world.m_first.m_is_home = false;
    }
    SUBCASE("it isn't there") {}
    world.submit(sent_kind::single_write);
    REQUIRE(world.arrives(world.m_second));
    CHECK(world.m_first.m_requests.empty());
    CHECK(world.m_report.m_sent_again == 1);
}

TEST_CASE("homes that start a moment later are waited for")
{
    two_homes world;
    world.submit(sent_kind::single_write);
    auto const later = state::clock::now() + state::duration(200);
    world.run_until([&] { return state::clock::now() > later; });
    CHECK_FALSE(world.m_result);
    REQUIRE(world.m_first.start());
    CHECK(world.arrives(world.m_first));
}

TEST_CASE("without homes a statement is refused when its goal has passed")
{
    two_homes world;
    auto const request = world.submit(sent_kind::single_write);
    request->m_arrived = state::clock::now() - world.m_target;
    REQUIRE(world.ends());
    REQUIRE(world.m_result->m_reply.m_failure);
    CHECK(world.m_result->m_reply.m_failure->m_error == statement_error::busy);
}

TEST_CASE("what ran at a home that ends is unknown, a read is sent again")
{
    two_homes world;
    REQUIRE(world.m_first.start());
    REQUIRE(world.m_second.start());
    SUBCASE("write")
    {
        world.submit(sent_kind::single_write);
        REQUIRE(world.arrives(world.m_first));
        world.m_first.end();
        REQUIRE(world.ends());
        CHECK(world.m_result->m_reply.m_failure->m_error ==
              statement_error::in_doubt);
        CHECK(world.m_second.m_requests.empty());
    }
    SUBCASE("read")
    {
        world.submit(sent_kind::single_read);
        REQUIRE(world.arrives(world.m_first));
        world.m_first.end();
        REQUIRE(world.arrives(world.m_second));
        world.m_second.answer("ROW 2");
        REQUIRE(world.ends());
        CHECK(world.m_result->m_reply.ok());
    }
}

TEST_CASE("a transaction stays at its home")
{
    two_homes world;
    REQUIRE(world.m_first.start());
    REQUIRE(world.m_second.start());
    world.submit(sent_kind::in_transaction);
    REQUIRE(world.arrives(world.m_first));
    world.m_first.answer("ROW 1", true);
    REQUIRE(world.ends());
    REQUIRE(world.m_bound);
    SUBCASE("its next statement goes there")
    {
        world.submit(sent_kind::in_transaction);
        REQUIRE(world.arrives(world.m_first, 2));
        CHECK(world.m_first.m_requests[1]->m_bound);
        CHECK_FALSE(world.m_first.m_server->idle());
        world.m_first.answer("ROW 2");
        REQUIRE(world.ends());
        CHECK(world.m_first.m_server->idle());
    }
    SUBCASE("it is rolled back there")
    {
        proxy::home_router::roll_back(*world.m_bound);
        CHECK(
            world.run_until([&] { return world.m_first.m_rolled_back == 1; }));
        CHECK(world.m_first.m_server->idle());
    }
    SUBCASE("without its home it is rolled back")
    {
        world.m_first.end();
        world.submit(sent_kind::in_transaction);
        REQUIRE(world.ends());
        CHECK(world.m_result->m_reply.m_failure->m_error ==
              statement_error::aborted);
    }
    SUBCASE("without its home a commit is in doubt")
    {
        world.m_first.end();
        world.submit(sent_kind::commit_of_writes);
        REQUIRE(world.ends());
        CHECK(world.m_result->m_reply.m_failure->m_error ==
              statement_error::in_doubt);
    }
}

TEST_CASE("a home that leaves gets no new statements")
{
    two_homes world;
    REQUIRE(world.m_first.start());
    REQUIRE(world.m_second.start());
    world.submit(sent_kind::single_read);
    REQUIRE(world.arrives(world.m_first));
    world.m_first.m_server->announce_leaving();
    world.m_first.answer("ROW 1");
    REQUIRE(world.ends());
    world.submit(sent_kind::single_read);
    CHECK(world.arrives(world.m_second));
    CHECK(world.m_first.m_requests.size() == 1);
}

TEST_CASE("a transaction that was handed over with its home is found again")
{
    two_homes world;
    REQUIRE(world.m_second.start());
    // In the place of the first home: an instance that queues what it gets,
    // for it knows no members, and is no home later.
    proxy::traffic traffic(world.m_context, world.m_report);
    REQUIRE(traffic.listen_forwarded(world.m_first.m_address));
    auto const homes = [&](coordination::group_homes value)
    {
        auto view = std::make_shared<proxy::fleet_view>();
        auto configuration = *world.m_configuration;
        configuration.m_groups["group"].m_max_connections = 16;
        view->m_configuration =
            std::make_shared<state::configuration const>(configuration);
        view->m_homes["group"] = std::move(value);
        traffic.apply(view);
    };
    homes({});
    world.submit(sent_kind::in_transaction);
    auto const later = state::clock::now() + state::duration(100);
    world.run_until([&] { return state::clock::now() > later; });
    homes({1, false, {{"h2", world.m_second.m_address}}});
    REQUIRE(world.arrives(world.m_second));
    world.m_second.answer("ROW 1", true);
    REQUIRE(world.ends());
    REQUIRE(world.m_bound);
    world.submit(sent_kind::in_transaction);
    REQUIRE(world.arrives(world.m_second, 2));
    world.m_second.answer("ROW 2");
    REQUIRE(world.ends());
    CHECK(world.m_result->m_reply.ok());
}
