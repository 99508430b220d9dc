#include <doctest/doctest.h>

#include <camphortide/proxy/forwarding_conversion.hpp>

namespace coordination = camphortide::coordination;
namespace proxy = camphortide::proxy;
namespace state = camphortide::state;
namespace v1 = camphortide::proxy::v1;

namespace
{

state::time_point at(int ms)
{
    return state::time_point(state::duration(ms));
}

std::shared_ptr<state::configuration> configuration()
{
    auto value = std::make_shared<state::configuration>();
    value->m_version = 12;
    state::route route;
    route.m_name = "reads";
    route.m_group = "group";
    route.m_consistency = state::read_consistency::read_your_writes;
    route.m_max_staleness = state::duration(2500);
    route.m_statement_timeout = state::duration(800);
    route.m_target_latency = state::duration(200);
    route.m_priority = 2;
    value->m_routes["loans"] = route;
    return value;
}

proxy::statement_request request_at(state::time_point now)
{
    proxy::statement_request request;
    request.m_configuration = configuration();
    request.m_route = &request.m_configuration->m_routes.at("loans");
    request.m_statement.m_id = "q1";
    request.m_customer = "north";
    request.m_statement.m_text = "EXECUTE p 7 \xc3x";
    request.m_statement.m_argument = "7 x";
    request.m_shape = coordination::prepared_shape{true, "shape"};
    request.m_values["lang"] = "pt";
    request.m_values["bytes"] = "\xff\xfe no text";
    request.m_kind = coordination::sent_kind::single_write;
    request.m_last_commit =
        coordination::session_position{3, {state::term(3), 1209}};
    request.m_started = now - state::duration(40);
    request.m_arrived = now - state::duration(20);
    request.m_deadline = now + state::duration(700);
    return request;
}

} // namespace

TEST_CASE("a forwarded statement decodes to the fields that were encoded")
{
    auto const sent = request_at(at(1000));
    v1::Message message;
    REQUIRE(message.ParseFromString(
        proxy::encode_statement(sent, 5, 9, at(1000)).SerializeAsString()));
    CHECK(message.statement().number() == 5);
    CHECK(message.statement().transaction() == 9);
    // The clocks of the two instances have different origins.
    auto const decoded = proxy::decode_statement(message.statement(), at(50));
    REQUIRE(decoded);
    CHECK(decoded->m_statement.m_id == sent.m_statement.m_id);
    CHECK(decoded->m_statement.m_text == sent.m_statement.m_text);
    CHECK(decoded->m_statement.m_argument == sent.m_statement.m_argument);
    CHECK(decoded->m_customer == sent.m_customer);
    CHECK(decoded->m_shape == sent.m_shape);
    CHECK(decoded->m_values == sent.m_values);
    CHECK(decoded->m_kind == sent.m_kind);
    CHECK(decoded->m_last_commit == sent.m_last_commit);
    CHECK(decoded->m_primary == sent.m_primary);
    CHECK(decoded->m_begins_transaction == sent.m_begins_transaction);
    CHECK(decoded->m_read_only == sent.m_read_only);
    CHECK(decoded->m_started == at(10));
    CHECK(decoded->m_arrived == at(30));
    CHECK(decoded->m_deadline == at(750));
    CHECK(decoded->m_configuration->m_version == 12);
    CHECK(decoded->m_route->m_group == "group");
    CHECK(decoded->m_route->m_consistency == sent.m_route->m_consistency);
    CHECK(decoded->m_route->m_max_staleness == sent.m_route->m_max_staleness);
    CHECK(decoded->m_route->m_statement_timeout ==
          sent.m_route->m_statement_timeout);
    CHECK(decoded->m_route->m_target_latency == sent.m_route->m_target_latency);
    CHECK(decoded->m_route->m_priority == sent.m_route->m_priority);
}

TEST_CASE("an invalid statement message is rejected")
{
    auto const good =
        proxy::encode_statement(request_at(at(1000)), 5, 0, at(1000))
            .statement();
    REQUIRE(proxy::decode_statement(good, at(0)));
    auto bad = good;
    SUBCASE("kind")
    {
        bad.set_kind(99);
    }
    SUBCASE("consistency")
    {
        bad.mutable_route()->set_consistency(99);
    }
    SUBCASE("staleness")
    {
        bad.mutable_route()->set_max_staleness_ms(-1);
    }
    SUBCASE("age")
    {
        bad.set_read_from_age_ms(-1);
    }
    SUBCASE("arrival")
    {
        bad.set_arrived_age_ms(-1);
    }
    SUBCASE("id")
    {
        bad.clear_id();
    }
    SUBCASE("text")
    {
        bad.clear_text();
    }
    CHECK_FALSE(proxy::decode_statement(bad, at(0)));
}

TEST_CASE("a result decodes to the reply that was encoded")
{
    proxy::statement_result sent;
    sent.m_reply.m_rows = {"ROW a", "ROW \xff"};
    sent.m_reply.m_signature = "7.1f3";
    sent.m_reply.m_phase = state::session_phase::in_transaction;
    sent.m_reply.m_position = state::log_position{state::term(3), 1210};
    sent.m_commit = coordination::session_position{3, {state::term(3), 1210}};
    SUBCASE("success") {}
    SUBCASE("failure")
    {
        sent.m_reply.m_failure = state::statement_failure{
            state::statement_error::no_such_statement, "p1"};
    }
    v1::Message message;
    REQUIRE(message.ParseFromString(
        proxy::encode_result(sent, 5, 9).SerializeAsString()));
    CHECK(message.reply().number() == 5);
    CHECK(message.reply().transaction() == 9);
    CHECK_FALSE(message.reply().not_run());
    auto const decoded = proxy::decode_result(message.reply());
    REQUIRE(decoded);
    CHECK(decoded->m_reply == sent.m_reply);
    CHECK(decoded->m_commit == sent.m_commit);
}

TEST_CASE("an invalid result message is rejected")
{
    auto bad = proxy::encode_result({}, 5, 0).reply();
    SUBCASE("phase")
    {
        bad.set_phase(17);
    }
    SUBCASE("error")
    {
        bad.mutable_failure()->set_error(99);
    }
    CHECK_FALSE(proxy::decode_result(bad));
}
