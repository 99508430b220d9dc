#include <doctest/doctest.h>

#include <camphortide/coordination/request/key_registry.hpp>
#include <camphortide/coordination/request/write_tracker.hpp>

namespace state = camphortide::state;
using namespace camphortide::coordination;
using action = keyed_step::action;
using code = statement_code;
using state::outcome;

namespace
{

state::time_point at(int ms)
{
    return state::time_point(state::duration(ms));
}

log_view log(std::uint64_t term, std::uint64_t first, std::uint64_t safe)
{
    return {state::term(term),
            {state::term(term), 100},
            state::term_history({{state::term(1), 1},
                                 {state::term(3), 2},
                                 {state::term(term), first}}),
            safe};
}

void send_and_answer(write_tracker& tracker, std::uint64_t request,
                     std::uint64_t index)
{
    tracker.add_write(request, std::to_string(request), deadline(at(500)));
    tracker.note_sent(request, state::term(3));
    tracker.answered(request, {code::ok, {state::term(3), index}, false});
}

} // namespace

TEST_CASE("an advance of the safe index completes the writes at or below it")
{
    write_tracker tracker;
    tracker.log_changed(log(3, 2, 10));
    for (std::uint64_t i = 1; i <= 5; ++i)
    {
        send_and_answer(tracker, i, 10 + i);
    }
    auto const steps = tracker.log_changed(log(3, 2, 13));
    CHECK(steps.size() == 3);
    for (auto const& step : steps)
    {
        CHECK(step.m_request <= 3);
        CHECK(step.m_step.m_result.m_outcome == outcome::executed);
    }
    CHECK(tracker.size() == 2);
    CHECK(tracker.log_changed(log(3, 2, 13)).empty());
}

TEST_CASE("a change of primary resolves all undecided requests")
{
    write_tracker tracker;
    tracker.log_changed(log(3, 2, 10));
    send_and_answer(tracker, 1, 12);
    send_and_answer(tracker, 2, 15);
    tracker.add_write(3, "3", deadline(at(500)));
    tracker.note_sent(3, state::term(3));
    tracker.add_write(4, "4", deadline(at(500)));
    auto const steps = tracker.log_changed(log(7, 14, 14));
    REQUIRE(steps.size() == 3);
    CHECK(steps[0].m_request == 1);
    CHECK(steps[0].m_step.m_result.m_outcome == outcome::executed);
    CHECK(steps[1].m_request == 2);
    CHECK(steps[1].m_step.m_action == action::resolve);
    CHECK(steps[2].m_request == 3);
    CHECK(steps[2].m_step.m_action == action::resolve);
    CHECK(tracker.find(4)->current_phase() == keyed_request::phase::waiting);
}

TEST_CASE("the deadline ends each request once")
{
    write_tracker tracker;
    tracker.add_write(1, "1", deadline(at(100)));
    tracker.add_write(2, "2", deadline(at(50)));
    tracker.note_sent(2, state::term(3));
    tracker.add_outcome_query(3, "3", deadline(at(200)));
    CHECK(tracker.expire(at(49)).empty());
    auto const steps = tracker.expire(at(100));
    REQUIRE(steps.size() == 2);
    CHECK(steps[0].m_request == 2);
    CHECK(steps[0].m_step.m_result.m_outcome == outcome::unknown);
    CHECK(steps[1].m_step.m_result.m_outcome == outcome::not_executed);
    CHECK(tracker.expire(at(100)).empty());
    CHECK(tracker.answered(2, {code::ok, {state::term(3), 1}, false}) ==
          keyed_step());
}

TEST_CASE("an outcome query is answered by a barrier that is safe")
{
    write_tracker tracker;
    tracker.log_changed(log(7, 14, 20));
    tracker.add_outcome_query(1, "k", deadline(at(500)));
    CHECK(tracker.find(1)->current_phase() == keyed_request::phase::lost);
    tracker.note_sent(1, state::term(7));
    tracker.answered(1, {code::key_barred, {state::term(7), 21}, false});
    auto const steps = tracker.log_changed(log(7, 14, 21));
    REQUIRE(steps.size() == 1);
    CHECK(steps[0].m_step.m_result.m_outcome == outcome::not_executed);
    CHECK(tracker.size() == 0);
}

TEST_CASE("scoped keys of different customers never collide")
{
    CHECK(scoped_key("a", "bc") != scoped_key("ab", "c"));
    CHECK(scoped_key("1", "1:x") != scoped_key("11", ":x"));
    CHECK(scoped_key("a", "").empty());
}

TEST_CASE("a key that is used for two statements is a conflict")
{
    key_registry registry(2);
    CHECK(registry.note("k", 1));
    CHECK(registry.note("k", 1));
    CHECK_FALSE(registry.note("k", 2));
    CHECK(registry.note("", 1));
    CHECK(registry.note("", 2));
    SUBCASE("as long as the registry holds it")
    {
        registry.note("l", 1);
        registry.note("m", 1);
        CHECK(registry.size() == 2);
        CHECK(registry.note("k", 2));
    }
}
