#include <string>

#include <doctest/doctest.h>

#include <camphortide/coordination/session/session_state.hpp>

namespace coordination = camphortide::coordination;
namespace state = camphortide::state;
using coordination::session_state;
using state::session_phase;
using state::statement;
using state::statement_error;
using state::statement_kind;

namespace
{

statement make(statement_kind kind, std::string name = "",
               std::string argument = "", bool write = false)
{
    return {"7f", "text", kind, std::move(name), std::move(argument), write};
}

std::optional<statement_error> error_of(coordination::session_step const& step)
{
    if (!step.m_answer || step.m_answer->ok())
    {
        return std::nullopt;
    }
    return step.m_answer->m_failure->m_error;
}

} // namespace

TEST_CASE("BEGIN is answered locally, the statements need a member")
{
    session_state session;
    auto const begun = session.accept(make(statement_kind::begin));
    REQUIRE(begun.m_answer.has_value());
    CHECK(begun.m_answer->m_phase == session_phase::in_transaction);
    CHECK_FALSE(session.accept(make(statement_kind::read)).m_answer);
    CHECK_FALSE(session.wrote());
    CHECK_FALSE(session.accept(make(statement_kind::write)).m_answer);
    CHECK(session.wrote());
    CHECK_FALSE(session.accept(make(statement_kind::commit)).m_answer);
    state::statement_reply reply;
    session.finish(make(statement_kind::commit), reply);
    CHECK(reply.m_phase == session_phase::idle);
    CHECK_FALSE(session.wrote());
}

TEST_CASE("a failed transaction accepts only its end")
{
    session_state session;
    session.accept(make(statement_kind::begin));
    state::statement_reply failed;
    failed.m_failure = state::statement_failure{statement_error::failed, "no"};
    session.finish(make(statement_kind::read), failed);
    CHECK(failed.m_phase == session_phase::failed_transaction);
    CHECK(error_of(session.accept(make(statement_kind::read))) ==
          statement_error::malformed);
    SUBCASE("a rollback ends it")
    {
        auto const step = session.accept(make(statement_kind::roll_back));
        CHECK(step.m_answer->ok());
        CHECK(step.m_end_transaction);
    }
    SUBCASE("a commit is never reported as executed")
    {
        CHECK(error_of(session.accept(make(statement_kind::commit))) ==
              statement_error::aborted);
    }
    CHECK(session.phase() == session_phase::idle);
}

TEST_CASE("a transaction that the system lost is reported as rolled back")
{
    session_state session;
    session.accept(make(statement_kind::begin));
    session.lose_transaction();
    CHECK(error_of(session.accept(make(statement_kind::write))) ==
          statement_error::aborted);
    CHECK(session.phase() == session_phase::failed_transaction);
    session.accept(make(statement_kind::roll_back));
    session.lose_transaction();
    CHECK(session.phase() == session_phase::idle);
}

TEST_CASE("a read-only transaction refuses writes")
{
    session_state session;
    session.accept(make(statement_kind::prepare, "s1", "q2", true));
    session.accept(make(statement_kind::begin_read_only));
    CHECK_FALSE(session.accept(make(statement_kind::read)).m_answer);
    CHECK(error_of(
              session.accept(make(statement_kind::execute, "s1", "a data"))) ==
          statement_error::read_only);
    CHECK(session.phase() == session_phase::failed_transaction);
}

TEST_CASE("names of prepared statements are local to the session")
{
    session_state session;
    CHECK(error_of(session.accept(make(statement_kind::execute, "s1", "a"))) ==
          statement_error::no_such_statement);
    session.accept(make(statement_kind::prepare, "s1", "q2"));
    CHECK_FALSE(
        session.accept(make(statement_kind::execute, "s1", "a")).m_answer);
    session.accept(make(statement_kind::prepare, "s1", "q3", true));
    CHECK(session.shape_of(make(statement_kind::execute, "s1", "a")) ==
          coordination::prepared_shape{true, "q3"});
    CHECK(session.writes(make(statement_kind::execute, "s1", "a")));
    CHECK(
        session.accept(make(statement_kind::deallocate, "s1")).m_answer->ok());
    CHECK(error_of(session.accept(make(statement_kind::deallocate, "s1"))) ==
          statement_error::no_such_statement);
}

TEST_CASE("the numbers of values and prepared statements are limited")
{
    session_state session;
    for (std::size_t i = 0; i < session_state::max_entries; ++i)
    {
        auto const name = std::to_string(i);
        session.accept(make(statement_kind::set_value, name, "v"));
        session.accept(make(statement_kind::prepare, name, "q"));
    }
    CHECK(error_of(session.accept(make(statement_kind::set_value, "more",
                                       "v"))) == statement_error::overload);
    CHECK(error_of(session.accept(make(statement_kind::prepare, "more",
                                       "q"))) == statement_error::overload);
    CHECK(session.accept(make(statement_kind::set_value, "1", "w"))
              .m_answer->ok());
}

TEST_CASE("COMMIT and ROLLBACK without a transaction are malformed")
{
    session_state session;
    CHECK(error_of(session.accept(make(statement_kind::commit))) ==
          statement_error::malformed);
    CHECK(error_of(session.accept(make(statement_kind::roll_back))) ==
          statement_error::malformed);
    session.accept(make(statement_kind::begin));
    auto const twice = session.accept(make(statement_kind::begin));
    CHECK(error_of(twice) == statement_error::malformed);
    CHECK(twice.m_end_transaction);
}
