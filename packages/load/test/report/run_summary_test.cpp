#include <chrono>

#include <doctest/doctest.h>

#include <camphortide/load/report/run_report.hpp>

namespace load = camphortide::load;
namespace state = camphortide::state;
namespace transport = camphortide::transport;

namespace
{

using std::chrono::milliseconds;

load::request_record write_by(std::string const& member, milliseconds answered)
{
    load::request_record result;
    result.m_request.m_customer = "desks";
    result.m_request.m_class_name = "checkouts";
    result.m_request.m_group = "loans";
    result.m_request.m_kind = transport::traffic_kind::write;
    result.m_request.m_intended = answered - milliseconds(4);
    result.m_sent = answered - milliseconds(3);
    result.m_answered = answered;
    result.m_outcome = state::outcome::executed;
    result.m_member = member;
    return result;
}

load::primary_loss const loss{"loans", "a", milliseconds(100)};

} // namespace

TEST_CASE("the failover gap is from the lost primary's last answer to the next "
          "primary's first")
{
    load::history const attempts{
        write_by("a", milliseconds(90)), write_by("a", milliseconds(104)),
        write_by("b", milliseconds(504)), write_by("b", milliseconds(520))};
    CHECK(load::failover_gap(attempts, loss) == 400.0);
}

TEST_CASE(
    "a loss without a later write has no gap and is counted as unrecovered")
{
    load::run_observations observed;
    observed.m_history = {write_by("a", milliseconds(90))};
    auto const summary = load::summarise(observed, {loss}, load::run_time{0});
    CHECK(summary.m_failover_gaps.empty());
    CHECK(summary.m_unrecovered_losses == 1);
}

TEST_CASE("latency is measured from the intended time, by customer and class")
{
    load::run_observations observed;
    for (int count = 1; count <= 100; ++count)
    {
        observed.m_history.push_back(
            write_by("a", milliseconds(1000 + 10 * count)));
    }
    observed.m_history.back().m_answered += milliseconds(96);
    auto const summary = load::summarise(observed, {}, load::run_time{0});
    REQUIRE(summary.m_classes.size() == 1);
    auto const& one = summary.m_classes.front();
    CHECK(one.m_requests == 100);
    CHECK(one.m_latency.m_p50 == 4.0);
    CHECK(one.m_latency.m_p99 == 4.0);
    CHECK(one.m_latency.m_p999 == 100.0);
    CHECK(summary.m_all.m_executed == 100);
}

TEST_CASE("a report lists each violation with its attempts")
{
    load::run_result result;
    result.m_started = true;
    CHECK(load::guarantees_held(result));
    result.m_violations = {{load::guarantee::own_answers,
                            "the answer is another's",
                            {write_by("a", milliseconds(9))}}};
    CHECK_FALSE(load::guarantees_held(result));
    auto const text = load::to_text({"test", "demo"}, result);
    CHECK(text.find("BROKEN own answers") != std::string::npos);
    CHECK(text.find("group=loans") != std::string::npos);
    auto const json = load::to_json({"test", "demo"}, result);
    CHECK(json.find("\"crossed\": 1") != std::string::npos);
    auto const page = load::to_html({"<test>", "demo"}, result);
    CHECK(page.find("&lt;test&gt;") != std::string::npos);
}

TEST_CASE("rolled back transactions are not counted as refused")
{
    auto refused = write_by("a", milliseconds(90));
    refused.m_outcome = state::outcome::not_executed;
    refused.m_reason = state::reason::queue_full;
    auto given_up = write_by("a", milliseconds(95));
    given_up.m_request.m_kind = transport::traffic_kind::transaction;
    given_up.m_request.m_rolls_back = true;
    given_up.m_outcome = state::outcome::not_executed;
    load::run_observations observed;
    observed.m_history = {refused, given_up};
    auto const summary = load::summarise(observed, {}, load::run_time{0});
    CHECK(summary.m_all.m_requests == 2);
    CHECK(summary.m_all.m_rolled_back == 1);
    CHECK(summary.m_all.m_not_executed == 1);
    CHECK(summary.m_refusals.size() == 1);
    CHECK(summary.m_refusals.at(state::reason::queue_full) == 1);
}
