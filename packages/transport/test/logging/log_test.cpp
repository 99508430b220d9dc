#include "line_sink.hpp"

#include <string>

#include <doctest/doctest.h>

#include <camphortide/transport/logging/log.hpp>
#include <camphortide/transport/logging/log_limiter.hpp>

using namespace camphortide::transport;
using camphortide::state::duration;
using camphortide::state::time_point;

namespace
{

time_point at(std::int64_t ms)
{
    return time_point(duration(ms));
}

} // namespace

TEST_CASE("a line has the part, the message and the fields")
{
    CHECK(log_line(log_part::group, "Primary lost.",
                   {{"group", "loans-1"},
                    {"term", 7u},
                    {"silence", duration(300)},
                    {"share", 0.25},
                    {"home", true}},
                   0) == "group: Primary lost. group=loans-1 term=7 "
                         "silence=300ms share=0.25 home=true");
    CHECK(log_line(log_part::peers, "Slow.", {}, 3) ==
          "peers: Slow. held_back=3");
}

TEST_CASE("a value cannot end the line or imitate another field")
{
    CHECK(log_field("name", "a b").text() == "name=\"a b\"");
    CHECK(log_field("name", "a=b").text() == "name=\"a=b\"");
    CHECK(log_field("name", "").text() == "name=\"\"");
    CHECK(log_field("name", "a\nE \"x\"").text() ==
          "name=\"a\\x0aE \\\"x\\\"\"");
}

TEST_CASE("the limiter allows a few lines of each kind and counts the others")
{
    log_limiter limiter(2, duration(100));
    CHECK(limiter.admit("a", at(0)) == 0u);
    CHECK(limiter.admit("a", at(1)) == 0u);
    CHECK(limiter.admit("a", at(2)) == std::nullopt);
    CHECK(limiter.admit("b", at(2)) == 0u);
    CHECK(limiter.admit("a", at(99)) == std::nullopt);
    CHECK(limiter.admit("a", at(100)) == 2u);
    CHECK(limiter.admit("a", at(101)) == 0u);
    CHECK(limiter.admit("a", at(102)) == std::nullopt);
}

TEST_CASE("lines reach glog up to the limit")
{
    line_sink const sink;
    for (int i = 0; i < 100; ++i)
    {
        log_warning(log_part::platform, "Store does not answer.", {{"n", i}});
    }
    REQUIRE(sink.lines().size() >= 5);
    CHECK(sink.lines().size() < 100);
    CHECK(sink.lines().front() == "platform: Store does not answer. n=0");
}
