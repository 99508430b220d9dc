#include <doctest/doctest.h>

#include <camphortide/coordination/request/probe_schedule.hpp>

using camphortide::coordination::probe_schedule;
using camphortide::state::duration;
using camphortide::state::time_point;

namespace
{

time_point at(int milliseconds)
{
    return time_point(duration(milliseconds));
}

} // namespace

TEST_CASE("without an age that is asked for there is no wish")
{
    probe_schedule pace;
    CHECK(pace.interval(at(0)) == duration::max());
}

TEST_CASE("the smallest recent age sets the pace")
{
    probe_schedule pace;
    pace.note_allowed_age(duration(2000), at(0));
    CHECK(pace.interval(at(10)) == duration(500));
    pace.note_allowed_age(duration(400), at(1000));
    pace.note_allowed_age(duration(1000), at(3000));
    CHECK(pace.interval(at(3000)) == duration(100));
    CHECK(pace.interval(at(5999)) == duration(100));
    CHECK(pace.interval(at(6000)) == duration(250));
    CHECK(pace.interval(at(8000)) == duration::max());
}

TEST_CASE("the same age asked for again counts from the last time")
{
    probe_schedule pace;
    for (int i = 0; i < 100; ++i)
    {
        pace.note_allowed_age(duration(400), at(100 * i));
    }
    CHECK(pace.interval(at(14899)) == duration(100));
    CHECK(pace.interval(at(14900)) == duration::max());
}
