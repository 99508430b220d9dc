#include <array>

#include <doctest/doctest.h>

#include <camphortide/coordination/session/reply_verdict.hpp>

namespace coordination = camphortide::coordination;
namespace state = camphortide::state;
using action = coordination::reply_verdict::action;
using coordination::judge_reply;
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

bool promises(coordination::reply_verdict const& verdict)
{
    if (verdict.m_action != action::tell)
    {
        return false;
    }
    auto const error = verdict.m_failure->m_error;
    return error == statement_error::busy || error == statement_error::aborted;
}

} // namespace

TEST_CASE("without an answer only what may have changed data is in doubt")
{
    CHECK(judge_reply({sent_kind::single_read, {}, false}).m_action ==
          action::send_again);
    CHECK(promises(judge_reply({sent_kind::in_transaction, {}, false})));
    CHECK(promises(judge_reply({sent_kind::commit_of_reads, {}, false})));
    for (auto const kind :
         {sent_kind::single_write, sent_kind::commit_of_writes})
    {
        auto const verdict = judge_reply({kind, {}, false});
        REQUIRE(verdict.m_action == action::tell);
        CHECK(verdict.m_failure->m_error == statement_error::in_doubt);
    }
}

TEST_CASE("a success under a permit that has lapsed is never delivered")
{
    for (auto const kind : all_kinds)
    {
        CHECK(judge_reply({kind, success(), false}).m_action ==
              action::deliver);
        auto const late = judge_reply({kind, success(), true});
        CHECK(late.m_action != action::deliver);
        CHECK_FALSE(late.m_keep_connection);
    }
}

TEST_CASE("a single statement that hasn't run is sent again")
{
    for (auto const error :
         {statement_error::busy, statement_error::lagging,
          statement_error::read_only, statement_error::misrouted,
          statement_error::overload})
    {
        for (auto const kind :
             {sent_kind::single_read, sent_kind::single_write})
        {
            CHECK(judge_reply({kind, failure(error), false}).m_action ==
                  action::send_again);
        }
    }
}

TEST_CASE("a write that ran without success is never sent again")
{
    for (auto const error :
         {statement_error::failed, statement_error::timed_out})
    {
        CHECK(judge_reply({sent_kind::single_write, failure(error), false})
                  .m_action == action::deliver);
        CHECK(judge_reply({sent_kind::single_read, failure(error), false})
                  .m_action == action::send_again);
    }
}

TEST_CASE("a commit that hasn't run is repeated or rolled back")
{
    auto busy = failure(statement_error::busy);
    busy.m_phase = state::session_phase::in_transaction;
    CHECK(judge_reply({sent_kind::commit_of_writes, busy, false}).m_action ==
          action::repeat_there);
    CHECK(promises(judge_reply({sent_kind::commit_of_writes,
                                failure(statement_error::read_only), false})));
    CHECK(judge_reply({sent_kind::commit_of_writes,
                       failure(statement_error::failed), false})
              .m_action == action::deliver);
}
