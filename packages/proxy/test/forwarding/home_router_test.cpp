#include <doctest/doctest.h>
#include <unistd.h>

#include <camphortide/proxy/home_router.hpp>
#include <camphortide/proxy/home_server.hpp>
#include <camphortide/proxy/traffic.hpp>

namespace coordination = camphortide::coordination;
namespace proxy = camphortide::proxy;
namespace v1 = camphortide::proxy::v1;
namespace state = camphortide::state;
using coordination::sent_kind;
using proxy::statement_request;
using proxy::statement_result;
using state::statement_error;

namespace
{

boost::asio::ip::tcp::endpoint parse_address(std::string const& address)
{
    auto const colon = address.find(':');
    return {boost::asio::ip::make_address(address.substr(0, colon)),
            static_cast<unsigned short>(std::stoi(address.substr(colon + 1)))};
}

/// A home whose statements are answered by calls of the test.
class home final : public proxy::home_server_host
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
    /// Closes all links and stops listening, as when its process ends.
    void end() { m_server.reset(); }

    bool serves(std::string const&, bool no_home) const override
    {
        return m_is_home || (no_home && m_stands_in);
    }
    void run_locally(std::shared_ptr<statement_request> const& request) override
    {
        m_requests.push_back(request);
    }
    void roll_back(std::string const&, proxy::bound_connection const&) override
    {
        ++m_rolled_back;
    }
    v1::Message answer_allowance(v1::AllowanceRequest const& message) override
    {
        v1::Message reply;
        reply.mutable_allowance_reply()->set_number(message.number());
        reply.mutable_allowance_reply()->set_granted(message.wanted());
        return reply;
    }
    void note_allowance_keeper(v1::AllowanceAnnouncement const&) override {}

    /// Answers the last statement.
    /// @param row of the answer
    /// @param in_transaction true: its transaction stays open
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
    bool m_stands_in = false;
    std::vector<std::shared_ptr<statement_request>> m_requests;
    int m_rolled_back = 0;
};

/// Counts the statements that are sent again.
class counting_observer final : public proxy::traffic_observer
{
public:
    void statement_ended(proxy::statement_end const&) override {}
    void statement_sent_again(std::string const&, statement_request const&,
                              std::string const&) override
    {
        ++m_sent_again;
    }
    void refused_locally(std::string const&, std::string const&,
                         state::statement_failure const&) override
    {
    }
    void member_reached(std::string const&, std::string const&, bool) override
    {
    }
    void connections_exhausted(proxy::member_gauge const&, bool) override {}
    void primary_unreachable(std::string const&, std::string const&) override {}
    void primary_closed(std::string const&,
                        camphortide::state::store_revision const&) override
    {
    }

    int m_sent_again = 0;
};

/// Router of one instance, and the two homes of its only group.
struct two_homes
{
    two_homes()
    {
        proxy::fleet_view view;
        coordination::group_homes homes;
        homes.m_count = 2;
        homes.m_is_home = false;
        homes.m_homes = {{"h1", m_first.m_address}, {"h2", m_second.m_address}};
        set_homes(std::move(homes));
        auto configuration = std::make_shared<state::configuration>();
        state::route route;
        route.m_group = "group";
        route.m_target_latency = m_target;
        configuration->m_routes["loans"] = route;
        m_configuration = std::move(configuration);
    }

    void set_homes(coordination::group_homes homes)
    {
        proxy::fleet_view view;
        view.m_homes = std::make_shared<proxy::home_map const>(
            proxy::home_map{{"group", std::move(homes)}});
        m_router.apply(view);
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
        request->m_arrived = request->m_started = state::clock::now();
        request->m_deadline = request->m_arrived + m_target * 2;
        request->m_done = [this](statement_result result)
        {
            m_bound = result.m_bound;
            m_result = std::move(result);
        };
        m_result.reset();
        m_router.submit(request);
        return request;
    }

    /// Runs the router and the homes until a condition holds, for at most 40 s:
    /// slow hosts need long.
    /// @return true if it holds
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

    bool wait_for_statement(home const& receiver, std::size_t count = 1)
    {
        return run_until([&] { return receiver.m_requests.size() == count; });
    }

    bool wait_for_result()
    {
        return run_until([&] { return m_result.has_value(); });
    }

    state::duration m_target{20000}; ///< longer than any test runs
    boost::asio::io_context m_context;
    counting_observer m_observer;
    home m_first{m_context, 1};
    home m_second{m_context, 2};
    std::shared_ptr<state::configuration const> m_configuration;
    std::optional<proxy::bound_connection> m_bound;
    std::optional<statement_result> m_result;
    std::vector<std::shared_ptr<statement_request>> m_run_here;
    proxy::home_router m_router{m_context, m_observer,
                                [this](auto const& request)
                                {
                                    m_run_here.push_back(request);
                                }};
};

} // namespace

TEST_CASE("a statement is forwarded to the first home")
{
    two_homes fixture;
    REQUIRE(fixture.m_first.start());
    fixture.submit(sent_kind::single_read);
    REQUIRE(fixture.wait_for_statement(fixture.m_first));
    CHECK(fixture.m_first.m_requests[0]->m_statement.m_text == "FETCH item");
    fixture.m_first.answer("ROW 1");
    REQUIRE(fixture.wait_for_result());
    CHECK(fixture.m_result->m_reply.m_rows ==
          std::vector<std::string>{"ROW 1"});
    CHECK_FALSE(fixture.m_bound);
}

TEST_CASE("a statement that one instance did not run goes to the next home")
{
    two_homes fixture;
    REQUIRE(fixture.m_second.start());
    SUBCASE("the instance is not a home")
    {
        REQUIRE(fixture.m_first.start());
        fixture.m_first.m_is_home = false;
    }
    SUBCASE("the instance is not running") {}
    fixture.submit(sent_kind::single_write);
    REQUIRE(fixture.wait_for_statement(fixture.m_second));
    CHECK(fixture.m_first.m_requests.empty());
    CHECK(fixture.m_observer.m_sent_again == 1);
}

TEST_CASE("a statement waits for homes that start shortly after it")
{
    two_homes fixture;
    fixture.submit(sent_kind::single_write);
    auto const resume_at = state::clock::now() + state::duration(200);
    fixture.run_until([&] { return state::clock::now() > resume_at; });
    CHECK_FALSE(fixture.m_result);
    REQUIRE(fixture.m_first.start());
    CHECK(fixture.wait_for_statement(fixture.m_first));
}

TEST_CASE("without homes a statement is refused once its target latency passed")
{
    two_homes fixture;
    auto const request = fixture.submit(sent_kind::single_write);
    request->m_arrived = state::clock::now() - fixture.m_target;
    REQUIRE(fixture.wait_for_result());
    REQUIRE(fixture.m_result->m_reply.m_failure);
    CHECK(fixture.m_result->m_reply.m_failure->m_error ==
          statement_error::busy);
}

TEST_CASE(
    "when a home ends, its writes are in doubt and its reads are sent again")
{
    two_homes fixture;
    REQUIRE(fixture.m_first.start());
    REQUIRE(fixture.m_second.start());
    SUBCASE("write")
    {
        fixture.submit(sent_kind::single_write);
        REQUIRE(fixture.wait_for_statement(fixture.m_first));
        fixture.m_first.end();
        REQUIRE(fixture.wait_for_result());
        CHECK(fixture.m_result->m_reply.m_failure->m_error ==
              statement_error::in_doubt);
        CHECK(fixture.m_second.m_requests.empty());
    }
    SUBCASE("read")
    {
        fixture.submit(sent_kind::single_read);
        REQUIRE(fixture.wait_for_statement(fixture.m_first));
        fixture.m_first.end();
        REQUIRE(fixture.wait_for_statement(fixture.m_second));
        fixture.m_second.answer("ROW 2");
        REQUIRE(fixture.wait_for_result());
        CHECK(fixture.m_result->m_reply.ok());
    }
}

TEST_CASE("only the first statements wait for a silent home")
{
    // The connection is accepted by the operating system, and nobody reads.
    two_homes fixture;
    auto const endpoint = parse_address(fixture.m_first.m_address);
    boost::asio::ip::tcp::acceptor const silent(fixture.m_context, endpoint);
    REQUIRE(fixture.m_second.start());
    SUBCASE("a read is sent to the next home")
    {
        fixture.submit(sent_kind::single_read);
        REQUIRE(fixture.wait_for_statement(fixture.m_second));
        fixture.m_second.answer("ROW 2");
        REQUIRE(fixture.wait_for_result());
        CHECK(fixture.m_result->m_reply.ok());
    }
    SUBCASE("a write is not sent again, and its outcome is in doubt")
    {
        fixture.submit(sent_kind::single_write);
        REQUIRE(fixture.wait_for_result());
        CHECK(fixture.m_result->m_reply.m_failure->m_error ==
              statement_error::in_doubt);
        CHECK(fixture.m_second.m_requests.empty());
    }
    // Later writes don't wait for the silent home, nor when it is tried again.
    fixture.m_second.m_requests.clear();
    for (std::size_t count = 1; count <= 3; ++count)
    {
        auto const resume_at = state::clock::now() + state::duration(700);
        fixture.run_until([&] { return state::clock::now() > resume_at; });
        fixture.submit(sent_kind::single_write);
        REQUIRE(fixture.wait_for_statement(fixture.m_second, count));
        fixture.m_second.answer("ROW 3");
        REQUIRE(fixture.wait_for_result());
        CHECK(fixture.m_result->m_reply.ok());
    }
}

TEST_CASE("a statement is refused early if no home responds")
{
    two_homes fixture;
    auto const request = fixture.submit(sent_kind::single_write);
    request->m_arrived = state::clock::now() - fixture.m_target / 4;
    REQUIRE(fixture.wait_for_result());
    REQUIRE(fixture.m_result->m_reply.m_failure);
    CHECK(fixture.m_result->m_reply.m_failure->m_error ==
          statement_error::busy);
}

// Guards against a group that nobody serves because a cut separates its callers
// from all of its homes.
TEST_CASE("a statement whose homes can't be reached is run by a stand-in")
{
    two_homes fixture;
    home stand_in(fixture.m_context, 3);
    stand_in.m_is_home = false;
    stand_in.m_stands_in = true;
    REQUIRE(stand_in.start());
    coordination::group_homes homes;
    homes.m_count = 2;
    homes.m_is_home = false;
    homes.m_homes = {{"h1", fixture.m_first.m_address},
                     {"h2", fixture.m_second.m_address}};
    homes.m_stand_ins = {{"s1", stand_in.m_address}};
    SUBCASE("another instance")
    {
        fixture.set_homes(homes);
        fixture.submit(sent_kind::single_write);
        REQUIRE(fixture.wait_for_statement(stand_in));
        stand_in.answer("ROW 1");
        REQUIRE(fixture.wait_for_result());
        CHECK(fixture.m_result->m_reply.ok());
        // The homes are used again once they respond.
        REQUIRE(fixture.m_first.start());
        for (int i = 0; i < 50 && fixture.m_first.m_requests.empty(); ++i)
        {
            stand_in.m_requests.clear();
            fixture.submit(sent_kind::single_read);
            fixture.run_until(
                [&]
                {
                    return !fixture.m_first.m_requests.empty() ||
                           !stand_in.m_requests.empty();
                });
            auto& receiver =
                stand_in.m_requests.empty() ? fixture.m_first : stand_in;
            receiver.answer("ROW 2");
            REQUIRE(fixture.wait_for_result());
        }
        CHECK(fixture.m_first.m_requests.size() == 1);
    }
    SUBCASE("this instance")
    {
        homes.m_is_stand_in = true;
        fixture.set_homes(homes);
        fixture.submit(sent_kind::single_write);
        REQUIRE(
            fixture.run_until([&] { return fixture.m_run_here.size() == 1; }));
        CHECK(stand_in.m_requests.empty());
    }
}

// Guards against stand-ins that take statements while a home responds: the
// connections to the members would be spread over more instances.
TEST_CASE("a stand-in refuses statements whose senders reach a home")
{
    two_homes fixture;
    fixture.m_first.m_is_home = false;
    fixture.m_first.m_stands_in = true;
    REQUIRE(fixture.m_first.start());
    REQUIRE(fixture.m_second.start());
    fixture.submit(sent_kind::single_write);
    REQUIRE(fixture.wait_for_statement(fixture.m_second));
    CHECK(fixture.m_first.m_requests.empty());
}

TEST_CASE("a transaction stays at its home")
{
    two_homes fixture;
    REQUIRE(fixture.m_first.start());
    REQUIRE(fixture.m_second.start());
    fixture.submit(sent_kind::in_transaction);
    REQUIRE(fixture.wait_for_statement(fixture.m_first));
    fixture.m_first.answer("ROW 1", true);
    REQUIRE(fixture.wait_for_result());
    REQUIRE(fixture.m_bound);
    SUBCASE("its next statement goes to the same home")
    {
        fixture.submit(sent_kind::in_transaction);
        REQUIRE(fixture.wait_for_statement(fixture.m_first, 2));
        CHECK(fixture.m_first.m_requests[1]->m_bound);
        CHECK_FALSE(fixture.m_first.m_server->idle());
        fixture.m_first.answer("ROW 2");
        REQUIRE(fixture.wait_for_result());
        CHECK(fixture.m_first.m_server->idle());
    }
    SUBCASE("it is rolled back at that home")
    {
        proxy::home_router::roll_back(*fixture.m_bound);
        CHECK(fixture.run_until(
            [&] { return fixture.m_first.m_rolled_back == 1; }));
        CHECK(fixture.m_first.m_server->idle());
    }
    SUBCASE("it is reported as rolled back if its home ends")
    {
        fixture.m_first.end();
        fixture.submit(sent_kind::in_transaction);
        REQUIRE(fixture.wait_for_result());
        CHECK(fixture.m_result->m_reply.m_failure->m_error ==
              statement_error::aborted);
    }
    SUBCASE("its commit is in doubt if its home ends")
    {
        fixture.m_first.end();
        fixture.submit(sent_kind::commit_of_writes);
        REQUIRE(fixture.wait_for_result());
        CHECK(fixture.m_result->m_reply.m_failure->m_error ==
              statement_error::in_doubt);
    }
}

TEST_CASE("a leaving home receives no new statements")
{
    two_homes fixture;
    REQUIRE(fixture.m_first.start());
    REQUIRE(fixture.m_second.start());
    fixture.submit(sent_kind::single_read);
    REQUIRE(fixture.wait_for_statement(fixture.m_first));
    fixture.m_first.m_server->announce_leaving();
    fixture.m_first.answer("ROW 1");
    REQUIRE(fixture.wait_for_result());
    fixture.submit(sent_kind::single_read);
    CHECK(fixture.wait_for_statement(fixture.m_second));
    CHECK(fixture.m_first.m_requests.size() == 1);
}

TEST_CASE("a transaction follows its first statement to another home")
{
    two_homes fixture;
    REQUIRE(fixture.m_second.start());
    // In place of the first home: an instance that queues statements, as it
    // has no members yet, and then ceases to be a home.
    proxy::traffic traffic(fixture.m_context, fixture.m_observer);
    REQUIRE(traffic.listen_forwarded(fixture.m_first.m_address));
    auto const homes = [&](coordination::group_homes value)
    {
        auto view = std::make_shared<proxy::fleet_view>();
        auto configuration = *fixture.m_configuration;
        configuration.m_groups["group"].m_max_connections = 16;
        view->m_configuration =
            std::make_shared<state::configuration const>(configuration);
        view->m_homes = std::make_shared<proxy::home_map const>(
            proxy::home_map{{"group", std::move(value)}});
        traffic.apply(view);
    };
    homes({});
    fixture.submit(sent_kind::in_transaction);
    auto const resume_at = state::clock::now() + state::duration(100);
    fixture.run_until([&] { return state::clock::now() > resume_at; });
    coordination::group_homes elsewhere;
    elsewhere.m_is_home = false;
    elsewhere.m_homes = {{"h2", fixture.m_second.m_address}};
    homes(std::move(elsewhere));
    REQUIRE(fixture.wait_for_statement(fixture.m_second));
    fixture.m_second.answer("ROW 1", true);
    REQUIRE(fixture.wait_for_result());
    REQUIRE(fixture.m_bound);
    fixture.submit(sent_kind::in_transaction);
    REQUIRE(fixture.wait_for_statement(fixture.m_second, 2));
    fixture.m_second.answer("ROW 2");
    REQUIRE(fixture.wait_for_result());
    CHECK(fixture.m_result->m_reply.ok());
}
