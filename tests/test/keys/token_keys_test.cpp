#include "keyed_deployment.hpp"

#include <doctest/doctest.h>

namespace tests = camphortide::tests;
namespace v1 = camphortide::v1;

namespace
{

constexpr std::chrono::seconds patience{20};
std::string const former_key(64, 'b');
std::string const new_key(64, 'c');

} // namespace

TEST_CASE("a change of the token key keeps the sessions that are open")
{
    tests::keyed_deployment running(grpc::InsecureServerCredentials(),
                                    grpc::InsecureServerCredentials());
    auto const start =
        [&running](std::string const& name, std::vector<std::string> keys)
    {
        auto settings = running.settings(name);
        settings.m_token_keys = std::move(keys);
        return tests::keyed_deployment::start(settings);
    };
    auto const before = start("entry-1", {former_key});
    auto const both = start("entry-2", {new_key, former_key});
    auto const after = start("entry-3", {new_key});
    for (auto const* const each : {before.get(), both.get(), after.get()})
    {
        REQUIRE(tests::keyed_deployment::wait_ready(*each, patience));
    }
    tests::session caller(before->caller_address());
    REQUIRE(caller.write("set trike out", "desk-1").ok());

    caller.move_to(after->caller_address());
    auto const refused = caller.read("get trike");
    CHECK(refused.error_code() == grpc::StatusCode::INVALID_ARGUMENT);
    CHECK(tests::failure_of(refused).reason() == v1::REASON_BAD_TOKEN);
    CHECK(tests::failure_of(refused).outcome() == v1::OUTCOME_NOT_EXECUTED);

    caller.move_to(both->caller_address());
    REQUIRE(caller.read("get trike").ok());
    CHECK(caller.reply().result() == "out");

    // What it answers is signed with the first key.
    caller.move_to(after->caller_address());
    REQUIRE(caller.read("get trike").ok());
    CHECK(caller.reply().result() == "out");
    caller.move_to(before->caller_address());
    CHECK(tests::failure_of(caller.read("get trike")).reason() ==
          v1::REASON_BAD_TOKEN);
}
