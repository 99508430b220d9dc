#include "command_table.hpp"

#include <sstream>

#include <doctest/doctest.h>

namespace command_line = camphortide::command_line;
using command_line::exit_code;

namespace
{

struct run_result
{
    exit_code m_code;
    std::string m_out;
    std::string m_error;
};

run_result run(command_line::arguments const& args)
{
    std::ostringstream out;
    std::ostringstream error;
    auto const code = command_line::run_command(args, {out, error});
    return {code, out.str(), error.str()};
}

} // namespace

TEST_CASE("demo lists its faults")
{
    auto const result = run({"demo", "--list-faults"});
    CHECK(result.m_code == exit_code::done);
    for (auto const* const name :
         {"primary-partition", "primary-kill", "replica-lag", "instance-kill",
          "instance-pause", "store-down", "store-slow", "store-lost-reply",
          "data-centre-loss", "planned-stop", "catalogue-edit-race",
          "rolling-replacement"})
    {
        CHECK(result.m_out.find(name) != std::string::npos);
    }
}

TEST_CASE("demo lists its baselines and marks the one that breaks promises")
{
    auto const result = run({"demo", "--list-baselines"});
    CHECK(result.m_code == exit_code::done);
    for (auto const* const name : {"default", "primary-reads", "random-replica",
                                   "all-homes", "primary-word"})
    {
        CHECK(result.m_out.find(name) != std::string::npos);
    }
    CHECK(result.m_out.find("may lose writes") != std::string::npos);
}

TEST_CASE("demo and load reject invalid arguments")
{
    CHECK(run({"demo", "--fault", "nothing"}).m_code == exit_code::usage);
    CHECK(run({"demo", "--baseline", "nothing"}).m_code == exit_code::usage);
    CHECK(run({"demo", "--soak", "-1"}).m_code == exit_code::usage);
    CHECK(run({"demo", "--seconds", "-1"}).m_code == exit_code::usage);
    CHECK(run({"demo", "--deployment", "./nothing.jsonc"}).m_code ==
          exit_code::usage);
    CHECK(run({"load"}).m_code == exit_code::usage);
}
