#include "../support/command_fixture.hpp"

#include <chrono>
#include <thread>

#include <doctest/doctest.h>

#include <camphortide/standin/deployment/running_deployment.hpp>
#include <camphortide/standin/deployment/small_deployment_builder.hpp>

namespace standin = camphortide::standin;
using camphortide::command_line::exit_code;
using camphortide::command_line::run_command;

namespace
{

constexpr std::chrono::milliseconds poll_interval{20};
constexpr int max_polls = 3000;

run_result run(camphortide::command_line::arguments const& args)
{
    std::ostringstream out;
    std::ostringstream error;
    auto const code = run_command(args, {out, error});
    return {code, out.str(), error.str()};
}

} // namespace

TEST_CASE("status and catalogue commands work against a running deployment")
{
    standin::running_deployment running(
        standin::small_deployment_builder().instances(2).build(),
        std::string(64, 'a'));
    REQUIRE(running.wait_ready(std::chrono::seconds(60)));
    auto const admin = running.admin_address("entry-1");
    auto const platform = running.platform_address();

    // Instances discover each other some time after they are ready.
    auto status = run({"status", "--address", admin});
    for (int i = 0; i < max_polls && !status.prints("entry-2"); ++i)
    {
        std::this_thread::sleep_for(poll_interval);
        status = run({"status", "--address", admin});
    }
    CHECK(status.m_code == exit_code::done);
    CHECK(status.prints("entry-2"));
    CHECK(status.prints("group loans"));
    CHECK(run({"status", "--address", admin, "--text"}).m_code ==
          exit_code::done);

    auto const stored = run({"catalogue", "get", "--platform", platform});
    REQUIRE(stored.m_code == exit_code::done);
    auto changed = stored.m_out;
    auto const position = changed.find("\"rate\": 100");
    REQUIRE(position != std::string::npos);
    changed.replace(position, std::string("\"rate\": 100").size(),
                    "\"rate\": 150");
    temporary_file const file("deployment_test.jsonc", changed);
    auto const applied =
        run({"catalogue", "apply", "deployment_test.jsonc", "--platform",
             platform, "--wait", "--address", admin});
    CHECK(applied.m_code == exit_code::done);
    CHECK(applied.prints("in force at entry-1"));
    CHECK(applied.prints("in force at entry-2"));
    CHECK(run({"status", "--address", admin})
              .prints("in force at entry-1 entry-2\n"));
}
