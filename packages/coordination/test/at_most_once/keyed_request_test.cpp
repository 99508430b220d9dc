#include <vector>

#include <doctest/doctest.h>

#include <camphortide/coordination/request/keyed_request.hpp>

namespace state = camphortide::state;
using namespace camphortide::coordination;
using action = keyed_step::action;
using code = statement_code;
using state::outcome;
using state::reason;

namespace
{

deadline const end(state::time_point(state::duration(1000)));
state::term const old_term(3);
state::term const new_term(7);

/// The log of the old primary, safe up to an index.
log_view old_log(std::uint64_t safe)
{
    return {
        old_term, {old_term, 60}, state::term_history({{old_term, 1}}), safe};
}

/// The log of a new primary whose term starts at index 40.
log_view new_log(std::uint64_t safe)
{
    return {new_term,
            {new_term, 60},
            state::term_history({{old_term, 1}, {new_term, 40}}),
            safe};
}

keyed_request sent(std::string const& key = "k")
{
    auto request = keyed_request::write(key, end);
    request.note_sent(old_term);
    return request;
}

keyed_answer answer(code value, state::term term, std::uint64_t index)
{
    return {value, {term, index}, false};
}

} // namespace

TEST_CASE("a write is acknowledged only once its record is safe")
{
    auto request = sent();
    CHECK(request.answered(answer(code::ok, old_term, 50), old_log(49))
              .m_action == action::none);
    CHECK(request.log_changed(old_log(49)).m_action == action::none);
    auto const step = request.log_changed(old_log(50));
    CHECK(step.m_action == action::finish);
    CHECK(step.m_result.m_outcome == outcome::executed);
    CHECK(step.m_result.m_position == state::log_position{old_term, 50});
}

TEST_CASE("a member's answer determines the outcome or a new attempt")
{
    struct
    {
        code m_code;
        action m_action;
        outcome m_outcome;
        reason m_reason;
    } const rows[]{
        {code::ok, action::finish, outcome::executed, reason::none},
        {code::key_barred, action::finish, outcome::not_executed,
         reason::key_barred},
        {code::failed, action::finish, outcome::not_executed,
         reason::statement_failed},
        {code::not_primary, action::send, outcome::unknown, reason::none},
        {code::wrong_term, action::send, outcome::unknown, reason::none},
        {code::rolled_back, action::finish, outcome::not_executed,
         reason::transaction_lost},
    };
    for (auto const& row : rows)
    {
        CAPTURE(to_string(row.m_code));
        auto request = sent();
        auto const step =
            request.answered(answer(row.m_code, old_term, 50), old_log(50));
        CHECK(step.m_action == row.m_action);
        CHECK(step.m_result.m_outcome == row.m_outcome);
        CHECK(step.m_result.m_reason == row.m_reason);
    }
}

TEST_CASE("a record of the superseded primary is looked up in the new log")
{
    auto request = sent();
    SUBCASE("kept: executed, without a query")
    {
        request.answered(answer(code::ok, old_term, 39), old_log(10));
        CHECK(request.log_changed(new_log(38)).m_action == action::none);
        CHECK(request.log_changed(new_log(39)).m_result.m_outcome ==
              outcome::executed);
    }
    SUBCASE("missing: the key is resolved, so that it stays barred")
    {
        request.answered(answer(code::ok, old_term, 45), old_log(10));
        CHECK(request.log_changed(new_log(41)).m_action == action::resolve);
        request.note_sent(new_term);
        CHECK(request
                  .answered(answer(code::key_barred, new_term, 61), new_log(60))
                  .m_action == action::none);
        CHECK(request.log_changed(new_log(61)).m_result.m_outcome ==
              outcome::not_executed);
    }
}

TEST_CASE("a lost connection leads to an outcome query")
{
    auto request = sent();
    CHECK(request.connection_lost().m_action == action::resolve);
}

TEST_CASE(
    "a change of primary with an outstanding answer leads to an outcome query")
{
    auto request = sent();
    CHECK(request.log_changed(old_log(50)).m_action == action::none);
    CHECK(request.log_changed(new_log(50)).m_action == action::resolve);
}

TEST_CASE("an outcome query is repeated until it is answered")
{
    auto request = keyed_request::outcome_query("k", end);
    for (auto const refusal :
         {code::not_primary, code::wrong_term, code::failed})
    {
        CAPTURE(to_string(refusal));
        request.note_sent(new_term);
        CHECK(request.answered(answer(refusal, new_term, 0), new_log(50))
                  .m_action == action::resolve);
    }
    request.note_sent(new_term);
    CHECK(request.connection_lost().m_action == action::resolve);
    request.note_sent(new_term);
    SUBCASE("it had run")
    {
        auto const step =
            request.answered({code::ok, {old_term, 39}, true}, new_log(50));
        CHECK(step.m_result.m_outcome == outcome::executed);
    }
    SUBCASE("it is barred, once the barrier is safe")
    {
        CHECK(request
                  .answered(answer(code::key_barred, new_term, 55), new_log(54))
                  .m_action == action::none);
        CHECK(request.log_changed(new_log(55)).m_result.m_outcome ==
              outcome::not_executed);
    }
}

TEST_CASE("a request that is abandoned reports only a proven outcome")
{
    auto waiting = keyed_request::write("k", end);
    auto unsafe = sent();
    unsafe.answered(answer(code::ok, old_term, 50), old_log(49));
    auto barred = sent();
    barred.answered(answer(code::key_barred, old_term, 50), old_log(49));
    auto refused = sent();
    refused.answered(answer(code::wrong_term, old_term, 0), old_log(49));
    auto lost = sent();
    lost.connection_lost();
    struct
    {
        char const* m_what;
        keyed_request m_request;
        outcome m_outcome;
    } rows[]{{"not sent", waiting, outcome::not_executed},
             {"sent", sent(), outcome::unknown},
             {"record not safe", unsafe, outcome::unknown},
             {"barrier not safe", barred, outcome::unknown},
             {"refused because of the term", refused, outcome::not_executed},
             {"lost", lost, outcome::unknown},
             {"an outcome query", keyed_request::outcome_query("k", end),
              outcome::unknown}};
    for (auto& row : rows)
    {
        CAPTURE(row.m_what);
        auto const step = row.m_request.abandon(reason::deadline_exceeded);
        CHECK(step.m_action == action::finish);
        CHECK(step.m_result.m_outcome == row.m_outcome);
        CHECK(row.m_request.abandon(reason::cancelled).m_action ==
              action::none);
    }
}

TEST_CASE("a lost write without a key stays unknown")
{
    auto request = sent("");
    auto const step = request.connection_lost();
    CHECK(step.m_action == action::finish);
    CHECK(step.m_result.m_outcome == outcome::unknown);
}

TEST_CASE("a repeated key returns the first result and is marked as replayed")
{
    auto request = sent();
    auto const step =
        request.answered({code::ok, {old_term, 12}, true}, old_log(50));
    CHECK(step.m_result.m_outcome == outcome::executed);
    CHECK(step.m_result.m_replayed);
    CHECK(step.m_result.m_position.m_index == 12);
}

TEST_CASE("an answer without its record proves nothing")
{
    auto request = sent();
    CHECK(
        request.answered({code::key_barred, {}, false}, old_log(50)).m_action ==
        action::none);
    CHECK(request.abandon(reason::deadline_exceeded).m_result.m_outcome ==
          outcome::unknown);
}

TEST_CASE("late answers to a finished request change nothing")
{
    auto request = sent();
    request.abandon(reason::deadline_exceeded);
    CHECK(request.answered(answer(code::ok, old_term, 50), old_log(60)) ==
          keyed_step());
    CHECK(request.connection_lost() == keyed_step());
    CHECK(request.log_changed(new_log(60)) == keyed_step());
}
