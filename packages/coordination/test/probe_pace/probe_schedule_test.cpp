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

TEST_CASE("without an allowed age no probe interval is required")
{
    probe_schedule schedule;
    CHECK(schedule.interval(at(0)) == duration::max());
}

TEST_CASE("the smallest recent age determines the interval")
{
    probe_schedule schedule;
    schedule.note_allowed_age(duration(2000), at(0));
    CHECK(schedule.interval(at(10)) == duration(500));
    schedule.note_allowed_age(duration(400), at(1000));
    schedule.note_allowed_age(duration(1000), at(3000));
    CHECK(schedule.interval(at(3000)) == duration(100));
    CHECK(schedule.interval(at(5999)) == duration(100));
    CHECK(schedule.interval(at(6000)) == duration(250));
    CHECK(schedule.interval(at(8000)) == duration::max());
}

TEST_CASE("a repeated age is effective from its last use")
{
    probe_schedule schedule;
    for (int i = 0; i < 100; ++i)
    {
        schedule.note_allowed_age(duration(400), at(100 * i));
    }
    CHECK(schedule.interval(at(14899)) == duration(100));
    CHECK(schedule.interval(at(14900)) == duration::max());
}
