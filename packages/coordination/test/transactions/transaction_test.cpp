#include <functional>
#include <optional>

#include <doctest/doctest.h>

#include <camphortide/coordination/request/transaction.hpp>

namespace state = camphortide::state;
using namespace camphortide::coordination;
using answer_kind = transaction_step::answer;
using code = statement_code;
using connection_use = transaction_step::connection_use;
using sent = transaction_step::statement;
using phase = transaction::phase;
using state::outcome;
using state::reason;

namespace
{

state::term const term(3);
state::term const next_term(7);

state::time_point at(int ms)
{
    return state::time_point(state::duration(ms));
}

log_view log(std::uint64_t safe)
{
    return {term, {term, 60}, state::term_history({{term, 1}}), safe};
}

log_view next_log(std::uint64_t safe)
{
    return {next_term,
            {next_term, 60},
            state::term_history({{term, 1}, {next_term, 40}}),
            safe};
}

transaction begun()
{
    transaction result("k", term, deadline(at(1000)));
    result.answered({code::ok, {}, false}, log(50));
    return result;
}

transaction executing()
{
    auto result = begun();
    result.execute();
    return result;
}

transaction committing()
{
    auto result = begun();
    result.commit();
    return result;
}

transaction rolling_back()
{
    auto result = begun();
    result.roll_back();
    return result;
}

} // namespace

TEST_CASE("a transaction runs from BEGIN to a safe commit")
{
    transaction work("k", term, deadline(at(1000)));
    auto step = work.answered({code::ok, {}, false}, log(50));
    CHECK(step.m_answer == answer_kind::step);
    CHECK(work.execute().m_send == sent::execute);
    step = work.answered({code::ok, {term, 50}, false}, log(50));
    CHECK(step.m_answer == answer_kind::step);
    CHECK(work.commit().m_send == sent::commit);
    step = work.answered({code::ok, {term, 51}, false}, log(50));
    CHECK(step.m_connection == connection_use::release);
    CHECK(step.m_answer == answer_kind::none);
    step = work.log_changed(log(51));
    CHECK(step.m_connection == connection_use::keep);
    CHECK(step.m_answer == answer_kind::final);
    CHECK(step.m_result.m_outcome == outcome::executed);
    CHECK(step.m_result.m_position.m_index == 51);
    CHECK(work.current_phase() == phase::done);
}

TEST_CASE("a step in the wrong phase is refused and changes nothing")
{
    for (auto make : {executing, committing, rolling_back})
    {
        auto work = make();
        auto const before = work.current_phase();
        for (auto const step :
             {work.execute(), work.commit(), work.roll_back()})
        {
            CHECK(step.m_send == sent::none);
            CHECK(step.m_result.m_reason == reason::bad_request);
        }
        CHECK(work.current_phase() == before);
    }
}

TEST_CASE("a statement that fails leaves the transaction open")
{
    auto work = executing();
    auto const step = work.answered({code::failed, {}, false}, log(50));
    CHECK(step.m_answer == answer_kind::step);
    CHECK(step.m_result.m_reason == reason::statement_failed);
    CHECK(work.commit().m_send == sent::commit);
}

TEST_CASE("before the commit is sent, every failure has a definite outcome")
{
    using input = std::function<transaction_step(transaction&)>;
    struct
    {
        char const* m_what;
        input m_input;
        reason m_reason;
    } const inputs[]{
        {"connection lost", [](auto& work) { return work.connection_lost(); },
         reason::transaction_lost},
        {"change of primary",
         [](auto& work) { return work.log_changed(next_log(50)); },
         reason::term_superseded},
        {"deadline", [](auto& work) { return work.expire(at(1000)); },
         reason::deadline_exceeded},
    };
    for (auto const& row : inputs)
    {
        for (auto make : {begun, executing, rolling_back})
        {
            CAPTURE(row.m_what);
            auto work = make();
            auto const step = row.m_input(work);
            CHECK(step.m_connection == connection_use::close);
            CHECK(step.m_answer == answer_kind::final);
            CHECK(step.m_result.m_outcome == outcome::not_executed);
            CHECK(step.m_result.m_reason == row.m_reason);
            CHECK(work.current_phase() == phase::done);
            CHECK(row.m_input(work) == transaction_step());
        }
    }
}

TEST_CASE("a commit without an answer is resolved by its key")
{
    struct
    {
        char const* m_what;
        std::optional<keyed_answer> m_answer; ///< of RESOLVE, if in time
        outcome m_outcome;
    } const endings[]{{"it had run", keyed_answer{code::ok, {term, 39}, true},
                       outcome::executed},
                      {"it is barred",
                       keyed_answer{code::key_barred, {next_term, 50}, false},
                       outcome::not_executed},
                      {"not in time", std::nullopt, outcome::unknown}};
    using input = transaction_step (*)(transaction&);
    input const losses[]{[](transaction& work)
                         { return work.connection_lost(); },
                         [](transaction& work)
                         {
                             return work.log_changed(next_log(50));
                         }};
    for (auto const loss : losses)
    {
        for (auto const& row : endings)
        {
            CAPTURE(row.m_what);
            auto work = committing();
            auto step = loss(work);
            CHECK(step.m_connection == connection_use::close);
            CHECK(step.m_send == sent::resolve);
            CHECK(step.m_answer == answer_kind::none);
            work.note_resolve_sent(next_term);
            step = row.m_answer ? work.answered(*row.m_answer, next_log(50))
                                : work.expire(at(1000));
            CHECK(step.m_connection == connection_use::keep);
            CHECK(step.m_answer == answer_kind::final);
            CHECK(step.m_result.m_outcome == row.m_outcome);
        }
    }
}

TEST_CASE("a commit that the member refused did not run")
{
    for (auto const refusal :
         {code::not_primary, code::wrong_term, code::no_transaction})
    {
        CAPTURE(to_string(refusal));
        auto work = committing();
        auto const step = work.answered({refusal, {}, false}, log(50));
        CHECK(step.m_answer == answer_kind::final);
        CHECK(step.m_result.m_outcome == outcome::not_executed);
        CHECK(step.m_send == sent::none);
    }
}

TEST_CASE("when the caller leaves, only a clean connection returns to the pool")
{
    SUBCASE("open: rolled back first")
    {
        auto work = begun();
        auto step = work.caller_left();
        CHECK(step.m_send == sent::roll_back);
        CHECK(step.m_connection == connection_use::keep);
        step = work.answered({code::rolled_back, {}, false}, log(50));
        CHECK(step.m_connection == connection_use::release);
        CHECK(step.m_answer == answer_kind::none);
    }
    SUBCASE("an answer outstanding: closed")
    {
        auto work = executing();
        auto const step = work.caller_left();
        CHECK(step.m_connection == connection_use::close);
        CHECK(step.m_answer == answer_kind::none);
        CHECK(work.answered({code::ok, {}, false}, log(50)) ==
              transaction_step());
    }
    SUBCASE("commit sent: goes on, and is closed at the deadline")
    {
        auto work = committing();
        CHECK(work.caller_left() == transaction_step());
        auto const step = work.expire(at(1000));
        CHECK(step.m_connection == connection_use::close);
        CHECK(step.m_answer == answer_kind::none);
    }
}

TEST_CASE("a rollback without a definite answer closes the connection")
{
    auto work = rolling_back();
    auto const step = work.answered({code::failed, {}, false}, log(50));
    CHECK(step.m_connection == connection_use::close);
    CHECK(step.m_result.m_outcome == outcome::not_executed);
}

TEST_CASE("a transaction whose BEGIN fails is not executed")
{
    struct
    {
        code m_code;
        connection_use m_use;
    } const rows[]{{code::not_primary, connection_use::release},
                   {code::wrong_term, connection_use::release},
                   {code::failed, connection_use::close}};
    for (auto const& row : rows)
    {
        transaction work("k", term, deadline(at(1000)));
        auto const step = work.answered({row.m_code, {}, false}, log(50));
        CHECK(step.m_connection == row.m_use);
        CHECK(step.m_result.m_outcome == outcome::not_executed);
    }
}
