#include <doctest/doctest.h>

#include <camphortide/coordination/request/deadline.hpp>
#include <camphortide/coordination/request/endpoint_health.hpp>
#include <camphortide/coordination/request/read_attempts.hpp>
#include <camphortide/coordination/request/retry_budget.hpp>

namespace state = camphortide::state;
using namespace camphortide::coordination;
using state::duration;

namespace
{

state::time_point at(int ms)
{
    return state::time_point(duration(ms));
}

void answer(endpoint_health& health, answer_quality quality, int count,
            int latency = 2, int now = 0)
{
    for (int i = 0; i < count; ++i)
    {
        health.note_answer(quality, duration(latency), at(now));
    }
}

} // namespace

TEST_CASE("the remaining time of a deadline is never negative")
{
    auto const end = deadline::after(at(100), duration(50));
    CHECK(end.remaining(at(120)) == duration(30));
    CHECK(end.remaining(at(200)) == duration(0));
    CHECK_FALSE(end.expired(at(149)));
    CHECK(end.expired(at(150)));
    CHECK(end.fits(at(100), duration(49)));
    CHECK_FALSE(end.fits(at(100), duration(50)));
    CHECK(end.less(duration(5)).end() == at(145));
}

TEST_CASE("retries are limited to a share of the requests")
{
    retry_budget budget({.m_share = 0.1, .m_burst = 3});
    int retries = 0;
    for (int i = 0; i < 1000; ++i)
    {
        budget.note_request();
        retries += budget.take() ? 1 : 0;
    }
    CHECK(retries >= 99);
    CHECK(retries <= 103);
}

TEST_CASE("a budget accumulates no more than its burst")
{
    retry_budget budget({.m_share = 1, .m_burst = 2});
    for (int i = 0; i < 100; ++i)
    {
        budget.note_request();
    }
    CHECK(budget.take());
    CHECK(budget.take());
    CHECK_FALSE(budget.take());
}

TEST_CASE("a failed read is sent to another member")
{
    retry_budget budget({.m_share = 0.1, .m_burst = 2});
    read_attempts attempts(deadline(at(100)));
    auto const why = state::reason::connection_lost;
    CHECK(attempts.failed(1, why, budget, at(10)).m_retry);
    CHECK(attempts.attempted() == 2U);
    CHECK(attempts.failed(0, why, budget, at(20)).m_retry);
    CHECK(attempts.attempted() == 3U);
    auto const spent = attempts.failed(2, why, budget, at(30));
    CHECK_FALSE(spent.m_retry);
    CHECK(spent.m_reason == why);
}

TEST_CASE("an unresponsive member leaves time for another attempt")
{
    read_attempts const attempts(deadline(at(1000)));
    CHECK(attempts.attempt_deadline(duration(5), at(0)) == at(40));
    CHECK(attempts.attempt_deadline(duration(0), at(0)) == at(20));
    CHECK(attempts.attempt_deadline(duration(200), at(0)) == at(500));
    CHECK(attempts.attempt_deadline(duration(5), at(980)) == at(990));
}

TEST_CASE("the time for an attempt doubles with each one")
{
    retry_budget budget({});
    read_attempts attempts(deadline(at(17000)));
    state::time_point now = at(0);
    state::duration longest{};
    while (longest < state::duration(1000))
    {
        longest = attempts.attempt_deadline(duration(2), now) - now;
        now += longest;
        REQUIRE(attempts.failed(0, state::reason::connection_lost, budget, now)
                    .m_retry);
    }
    CHECK(now < at(8500));
    CHECK(attempts.count() == 7);
}

TEST_CASE("no read is attempted again after its deadline")
{
    retry_budget budget({});
    read_attempts attempts(deadline(at(100)));
    auto const result =
        attempts.failed(1, state::reason::connection_lost, budget, at(100));
    CHECK_FALSE(result.m_retry);
    CHECK(result.m_reason == state::reason::deadline_exceeded);
    CHECK(budget.available() == retry_limits().m_burst);
}

TEST_CASE("a rejected answer sends the read to the primary")
{
    retry_budget budget({.m_share = 0.1, .m_burst = 1});
    read_attempts attempts(deadline(at(100)));
    auto const why = state::reason::too_old;
    CHECK(attempts.rejected(why, budget, at(10)).m_retry);
    CHECK(attempts.primary_next());
    CHECK(budget.available() == 1);
    CHECK(attempts.rejected(why, budget, at(20)).m_retry);
    CHECK_FALSE(attempts.rejected(why, budget, at(30)).m_retry);
}

TEST_CASE("the share never increases with the failures")
{
    double last = 1.0;
    endpoint_health health({});
    answer(health, answer_quality::good, 50);
    CHECK(health.share(duration(2)) == 1.0);
    while (!health.ejected())
    {
        answer(health, answer_quality::failed, 1);
        auto const share = health.share(duration(2));
        CHECK(share <= last);
        last = share;
    }
    CHECK(last == 0);
}

TEST_CASE("the share never increases with the latency")
{
    double last = 1.0;
    for (int latency = 1; latency < 500; latency += 7)
    {
        endpoint_health health({});
        answer(health, answer_quality::good, 50, latency);
        auto const share = health.share(duration(3));
        CHECK(share <= last);
        last = share;
    }
    CHECK(last == doctest::Approx(0.1));
}

TEST_CASE("neither few answers nor high latency eject an endpoint")
{
    endpoint_health health({});
    answer(health, answer_quality::failed, 4);
    CHECK_FALSE(health.ejected());
    endpoint_health slow({});
    answer(slow, answer_quality::good, 100, 5000);
    CHECK_FALSE(slow.ejected());
    CHECK(slow.share(duration(2)) > 0);
}

TEST_CASE("an ejected endpoint is restored by successful probes")
{
    endpoint_health health({});
    answer(health, answer_quality::failed, 20);
    REQUIRE(health.ejected());
    CHECK_FALSE(health.probe_due(at(999)));
    CHECK(health.probe_due(at(1000)));
    health.note_probe(at(1000));
    CHECK_FALSE(health.probe_due(at(1001)));
    SUBCASE("a failed probe doubles the time to the next")
    {
        answer(health, answer_quality::failed, 1, 2, 1002);
        CHECK_FALSE(health.probe_due(at(3001)));
        CHECK(health.probe_due(at(3002)));
    }
    SUBCASE("late answers to other requests change nothing")
    {
        answer(health, answer_quality::good, 9, 2, 1002);
        CHECK(health.ejected());
    }
    SUBCASE("successful probes restore it with a small share that grows")
    {
        for (int i = 0; i < 3; ++i)
        {
            CHECK(health.ejected());
            health.note_probe(at(1001));
            answer(health, answer_quality::good, 1, 2, 1002);
        }
        CHECK_FALSE(health.ejected());
        auto const first = health.share(duration(2));
        CHECK(first > 0);
        CHECK(first < 0.3);
        answer(health, answer_quality::good, 50, 2, 1100);
        CHECK(health.share(duration(2)) == 1.0);
    }
}
