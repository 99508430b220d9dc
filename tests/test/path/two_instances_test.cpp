#include "small_deployment.hpp"

#include <thread>

#include <doctest/doctest.h>

namespace standin = camphortide::standin;
namespace tests = camphortide::tests;
namespace v1 = camphortide::v1;

namespace
{

constexpr std::chrono::seconds max_wait{20};

void check_session_moves(std::optional<std::uint32_t> homes)
{
    standin::running_deployment running(tests::small_deployment(2, homes),
                                        tests::token_key);
    REQUIRE(running.wait_ready(max_wait));
    tests::session caller(running.caller_address("entry-1"));
    REQUIRE(caller.write("set puzzle out", "desk-7-1").ok());
    CHECK(caller.reply().outcome() == v1::OUTCOME_EXECUTED);
    CHECK_FALSE(caller.reply().session_token().empty());

    caller.move_to(running.caller_address("entry-2"));
    REQUIRE(caller.read("get puzzle").ok());
    CHECK(caller.reply().result() == "out");
    CHECK(caller.reply().from_replica());
}

/// Runs a transaction; without a commit, the end of its stream rolls it back.
/// @return the reply to each step
std::vector<v1::TransactionReply> transact(tests::session& caller, bool commits)
{
    grpc::ClientContext context;
    tests::session::authorize(context);
    auto const stream = caller.stub().Transact(&context);
    v1::TransactionStep step;
    step.mutable_begin()->set_entry("checkouts");
    stream->Write(step);
    std::vector<v1::TransactionReply> replies(2);
    stream->Read(&replies[0]);
    step.set_execute("set trike held");
    stream->Write(step);
    stream->Read(&replies[1]);
    if (commits)
    {
        step.mutable_commit();
        stream->Write(step);
        replies.emplace_back();
        stream->Read(&replies.back());
    }
    stream->WritesDone();
    stream->Finish();
    return replies;
}

} // namespace

TEST_CASE("a session reads its own write at another instance")
{
    check_session_moves(std::nullopt);
}

TEST_CASE("an instance that is not a home forwards requests")
{
    check_session_moves(1);
}

TEST_CASE("transactions run at homes and at other instances")
{
    standin::running_deployment running(tests::small_deployment(2, 1),
                                        tests::token_key);
    REQUIRE(running.wait_ready(max_wait));
    for (auto const* const name : {"entry-1", "entry-2"})
    {
        tests::session caller(running.caller_address(name));
        auto const rolled_back = transact(caller, false);
        CHECK(rolled_back.back().outcome() == v1::OUTCOME_EXECUTED);
        auto const replies = transact(caller, true);
        REQUIRE(replies.size() == 3);
        CHECK(replies[1].result() == "held");
        CHECK(replies[2].outcome() == v1::OUTCOME_EXECUTED);
        CHECK_FALSE(replies[2].session_token().empty());
    }
    CHECK(running.group("loans").rows("a").at("trike") == "held");
}

TEST_CASE("invalid requests are refused with the matching status code")
{
    standin::running_deployment running(
        tests::small_deployment(1, std::nullopt), tests::token_key);
    REQUIRE(running.wait_ready(max_wait));
    tests::session caller(running.caller_address("entry-1"));
    struct
    {
        char const* m_entry;
        char const* m_secret;
        std::string m_token;
        std::uint32_t m_deadline_ms;
        std::size_t m_bytes;
        grpc::StatusCode m_code;
    } const rows[] = {
        {"checkouts", "wrong", "", 0, 10, grpc::StatusCode::UNAUTHENTICATED},
        {"nothing", "secret", "", 0, 10, grpc::StatusCode::NOT_FOUND},
        {"checkouts", "secret", "forged", 0, 10,
         grpc::StatusCode::INVALID_ARGUMENT},
        {"checkouts", "secret", std::string(9000, 'x'), 0, 10,
         grpc::StatusCode::INVALID_ARGUMENT},
        {"checkouts", "secret", "", 0, std::size_t{1} << 20U,
         grpc::StatusCode::OK},
        {"checkouts", "secret", "", 0, (std::size_t{1} << 20U) + 1,
         grpc::StatusCode::INVALID_ARGUMENT},
        {"checkouts", "secret", "", 0, std::size_t{3} << 20U,
         grpc::StatusCode::RESOURCE_EXHAUSTED},
    };
    for (auto const& row : rows)
    {
        v1::Request request;
        request.set_entry(row.m_entry);
        std::string statement = "get x";
        statement.resize(row.m_bytes, ' ');
        request.set_statement(statement);
        request.set_session_token(row.m_token);
        grpc::ClientContext context;
        context.AddMetadata("authorization",
                            std::string("Bearer ") + row.m_secret);
        v1::Reply reply;
        CAPTURE(row.m_entry);
        CAPTURE(row.m_bytes);
        auto const status = caller.stub().Read(&context, request, &reply);
        CAPTURE(status.error_message());
        CHECK(status.error_code() == row.m_code);
    }
    CHECK(caller.read("get x").ok());
}

TEST_CASE("a transaction is lost when its primary is killed between two steps")
{
    standin::running_deployment running(tests::small_deployment(1, 1),
                                        tests::token_key);
    REQUIRE(running.wait_ready(max_wait));
    tests::session caller(running.caller_address("entry-1"));
    grpc::ClientContext context;
    tests::session::authorize(context);
    auto const stream = caller.stub().Transact(&context);
    v1::TransactionStep step;
    v1::TransactionReply reply;
    step.mutable_begin()->set_entry("checkouts");
    stream->Write(step);
    REQUIRE(stream->Read(&reply));
    REQUIRE(reply.outcome() == v1::OUTCOME_EXECUTED);

    auto& group = running.group("loans");
    group.kill(group.primary());
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    step.set_execute("set trike held");
    stream->Write(step);
    REQUIRE(stream->Read(&reply));
    CHECK(reply.outcome() == v1::OUTCOME_NOT_EXECUTED);
    CHECK(reply.reason() == v1::REASON_TRANSACTION_LOST);
    stream->WritesDone();
    stream->Finish();
    CHECK(running.wait_ready(max_wait));
}
