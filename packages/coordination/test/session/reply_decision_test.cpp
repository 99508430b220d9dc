#include <array>

#include <doctest/doctest.h>

#include <camphortide/coordination/session/reply_decision.hpp>

namespace coordination = camphortide::coordination;
namespace state = camphortide::state;
using action = coordination::reply_decision::action;
using coordination::evaluate_reply;
using coordination::sent_kind;
using state::statement_error;

namespace
{

constexpr std::array all_kinds{
    sent_kind::single_read, sent_kind::single_write, sent_kind::in_transaction,
    sent_kind::commit_of_reads, sent_kind::commit_of_writes};

state::statement_reply success()
{
    state::statement_reply reply;
    reply.m_signature = "7.1f3";
    return reply;
}

state::statement_reply failure(statement_error error)
{
    state::statement_reply reply;
    reply.m_failure = state::statement_failure{error, ""};
    return reply;
}

bool reports_no_effect(coordination::reply_decision const& decision)
{
    if (decision.m_action != action::fail)
    {
        return false;
    }
    auto const error = decision.m_failure->m_error;
    return error == statement_error::busy || error == statement_error::aborted;
}

} // namespace

TEST_CASE(
    "without a reply only statements that may have changed data are in doubt")
{
    CHECK(evaluate_reply({sent_kind::single_read, {}, false}).m_action ==
          action::retry);
    CHECK(reports_no_effect(
        evaluate_reply({sent_kind::in_transaction, {}, false})));
    CHECK(reports_no_effect(
        evaluate_reply({sent_kind::commit_of_reads, {}, false})));
    for (auto const kind :
         {sent_kind::single_write, sent_kind::commit_of_writes})
    {
        auto const decision = evaluate_reply({kind, {}, false});
        REQUIRE(decision.m_action == action::fail);
        CHECK(decision.m_failure->m_error == statement_error::in_doubt);
    }
}

TEST_CASE("a success under a permit that has lapsed is never delivered")
{
    for (auto const kind : all_kinds)
    {
        CHECK(evaluate_reply({kind, success(), false}).m_action ==
              action::deliver);
        auto const late = evaluate_reply({kind, success(), true});
        CHECK(late.m_action != action::deliver);
        CHECK_FALSE(late.m_keep_connection);
    }
}

TEST_CASE("a single statement that wasn't executed is sent again")
{
    for (auto const error :
         {statement_error::busy, statement_error::lagging,
          statement_error::read_only, statement_error::misrouted,
          statement_error::overload})
    {
        for (auto const kind :
             {sent_kind::single_read, sent_kind::single_write})
        {
            CHECK(evaluate_reply({kind, failure(error), false}).m_action ==
                  action::retry);
        }
    }
}

TEST_CASE("a write that was executed without success is never sent again")
{
    for (auto const error :
         {statement_error::failed, statement_error::timed_out})
    {
        CHECK(evaluate_reply({sent_kind::single_write, failure(error), false})
                  .m_action == action::deliver);
        CHECK(evaluate_reply({sent_kind::single_read, failure(error), false})
                  .m_action == action::retry);
    }
}

TEST_CASE("a commit that wasn't executed is repeated or rolled back")
{
    auto busy = failure(statement_error::busy);
    busy.m_phase = state::session_phase::in_transaction;
    CHECK(evaluate_reply({sent_kind::commit_of_writes, busy, false}).m_action ==
          action::retry_in_place);
    CHECK(reports_no_effect(
        evaluate_reply({sent_kind::commit_of_writes,
                        failure(statement_error::read_only), false})));
    CHECK(evaluate_reply({sent_kind::commit_of_writes,
                          failure(statement_error::failed), false})
              .m_action == action::deliver);
}
