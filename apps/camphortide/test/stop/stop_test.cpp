#include "../support/command_fixture.hpp"

#include <doctest/doctest.h>

using camphortide::command_line::exit_code;

namespace
{

std::string const catalogue = R"({"version": 0, "entries": [], "groups": [
  {"name": "g", "connections": 16, "slots": 2, "members": [
    {"name": "a", "address": "127.0.0.1:1", "data_centre": "x"},
    {"name": "b", "address": "127.0.0.1:2", "data_centre": "x"},
    {"name": "c", "address": "127.0.0.1:3", "data_centre": "x"}]}]})";

struct stop_fixture : command_fixture
{
    stop_fixture()
    {
        temporary_file const file("stop_test.jsonc", catalogue);
        REQUIRE(run({"catalogue", "apply", "stop_test.jsonc"}).m_code ==
                exit_code::done);
        m_platform.set_instance({"entry-1", "x", "127.0.0.1:4", false});
    }

    /// Plans a stop.
    /// @return its identifier
    std::string plan(std::string const& kind, std::string const& target,
                     std::string const& group)
    {
        auto const planned =
            run({"stop", "plan", kind, target, "--group", group});
        REQUIRE(planned.m_code == exit_code::done);
        auto const start = planned.m_out.find(' ') + 1;
        return planned.m_out.substr(start, planned.m_out.size() - start - 1);
    }
};

} // namespace

TEST_CASE_FIXTURE(stop_fixture, "a stop is planned, listed and cancelled")
{
    auto const id = plan("member", "a", "g");
    auto const listed = run({"stop", "list"});
    CHECK(listed.prints(id));
    CHECK(listed.prints("planned"));
    CHECK(run({"stop", "cancel", id}).m_code == exit_code::done);
    CHECK(run({"stop", "cancel", id}).m_code == exit_code::done);
    CHECK(run({"stop", "list"}).prints("cancelled"));
    plan("instance", "entry-1", "");
}

TEST_CASE_FIXTURE(stop_fixture, "an invalid or conflicting stop is refused")
{
    plan("member", "a", "g");
    CHECK(run({"stop", "plan", "member", "b", "--group", "g"}).m_code ==
          exit_code::refused);
    CHECK(run({"stop", "plan", "member", "a", "--group", "g"}).m_code ==
          exit_code::refused);
    CHECK(run({"stop", "plan", "member", "z", "--group", "g"}).m_code ==
          exit_code::refused);
    CHECK(run({"stop", "plan", "instance", "entry-9"}).m_code ==
          exit_code::refused);
    CHECK(run({"stop", "plan", "house", "a"}).m_code == exit_code::usage);
    CHECK(run({"stop", "plan"}).m_code == exit_code::usage);
    CHECK(run({"stop", "cancel"}).m_code == exit_code::usage);
    CHECK(run({"stop", "cancel", "unknown"}).m_code == exit_code::refused);
}

TEST_CASE_FIXTURE(stop_fixture, "a lost reply plans one stop")
{
    m_platform.lose_replies(1);
    auto const id = plan("primary", "a", "g");
    auto const listed = run({"stop", "list"});
    CHECK(listed.prints(id));
    m_platform.lose_replies(1);
    CHECK(run({"stop", "cancel", id}).m_code == exit_code::done);
    CHECK(run({"stop", "list"}).prints("cancelled"));
}

TEST_CASE_FIXTURE(stop_fixture, "commands fail while the store is down")
{
    m_platform.set_outage(true);
    CHECK(run({"stop", "list"}).m_code == exit_code::refused);
    CHECK(run({"stop", "plan", "member", "a", "--group", "g"}).m_code ==
          exit_code::refused);
}
