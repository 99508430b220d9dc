#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>

#include <doctest/doctest.h>

#include <camphortide/load/trace/group_scenario.hpp>
#include <camphortide/load/trace/trace_replay.hpp>

namespace load = camphortide::load;

namespace
{

load::named_scenario const& scenario(std::string_view name)
{
    for (auto const& each : load::known_scenarios())
    {
        if (each.m_name == name)
        {
            return each;
        }
    }
    throw std::invalid_argument("no such scene");
}

std::string changed(std::string text, std::string const& from,
                    std::string const& to)
{
    auto const at = text.find(from);
    REQUIRE(at != std::string::npos);
    return text.replace(at, from.size(), to);
}

load::replay_result replay_text(std::string const& text)
{
    std::istringstream in(text);
    return load::replay(in);
}

} // namespace

TEST_CASE("the recorded traces pass their replay")
{
    std::size_t count = 0;
    for (auto const& each : std::filesystem::directory_iterator("traces"))
    {
        if (each.path().extension() != ".jsonl")
        {
            continue;
        }
        ++count;
        CAPTURE(each.path().string());
        std::ifstream in(each.path());
        auto const result = load::replay(in);
        CHECK(result.passed());
        CHECK(result.m_steps > 0);
    }
    CHECK(count >= 12);
}

TEST_CASE("a scenario records the same trace each time, and its replay passes")
{
    for (auto const& each : load::known_scenarios())
    {
        CAPTURE(std::string(each.m_name));
        auto const trace = load::record_scenario(each);
        CHECK(trace == load::record_scenario(each));
        CHECK(replay_text(trace).passed());
    }
}

TEST_CASE("a replay detects a changed action or outcome")
{
    auto const trace = load::record_scenario(scenario("primary-kill"));
    SUBCASE("action")
    {
        auto const result =
            replay_text(changed(trace, R"("do":"promote","member":"b")",
                                R"("do":"promote","member":"c")"));
        REQUIRE(result.m_differences.size() == 1);
        CHECK(result.m_differences.front().m_kind ==
              load::difference_kind::other_actions);
    }
    SUBCASE("outcome")
    {
        auto const result =
            replay_text(changed(trace, R"("outcome":{"primary":"b")",
                                R"("outcome":{"primary":"c")"));
        REQUIRE(result.m_differences.size() == 1);
        CHECK(result.m_differences.front().m_kind ==
              load::difference_kind::other_outcome);
    }
    SUBCASE("no outcome")
    {
        auto const result =
            replay_text(trace.substr(0, trace.find("{\"outcome\"")));
        REQUIRE(result.m_differences.size() == 1);
        CHECK(result.m_differences.front().m_kind ==
              load::difference_kind::no_outcome);
    }
}

TEST_CASE("malformed traces and other versions are rejected as not_a_trace")
{
    auto const trace = load::record_scenario(scenario("quiet"));
    for (auto const& text :
         {std::string("nothing"), std::string("{}"), std::string("[1]"),
          changed(trace, "\"version\":1", "\"version\":2"),
          changed(trace, "\"kind\":\"tick\"", "\"kind\":\"tock\""),
          changed(trace, "\"t\":", "\"u\":")})
    {
        auto const result = replay_text(text);
        REQUIRE_FALSE(result.passed());
        CHECK(result.m_differences.back().m_kind ==
              load::difference_kind::not_a_trace);
    }
}
