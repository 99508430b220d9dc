#include <vector>

#include <doctest/doctest.h>

#include <camphortide/coordination/placing/dispatch_rate.hpp>

namespace coordination = camphortide::coordination;
namespace state = camphortide::state;
using coordination::dispatch_rate;
using state::duration;

namespace
{

state::time_point at(int ms)
{
    return state::time_point(duration(ms));
}

/// Members that take a statement each 10 ms.
dispatch_rate busy_members()
{
    dispatch_rate rate;
    for (int time = 0; time <= 1000; time += 10)
    {
        rate.note_dispatch(5, at(time));
    }
    return rate;
}

} // namespace

TEST_CASE("a statement that waits behind none is taken")
{
    dispatch_rate const rate;
    CHECK(rate.meets_deadline(0, duration(0), duration(0), at(0)));
    CHECK(busy_members().meets_deadline(0, duration(1), duration(0), at(1000)));
}

TEST_CASE("under load above what members take, what would be late is refused")
{
    auto const rate = busy_members();
    CHECK(rate.expected_wait(10, at(1000)) == duration(100));
    CHECK(rate.meets_deadline(12, duration(120), duration(0), at(1000)));
    CHECK_FALSE(rate.meets_deadline(13, duration(120), duration(0), at(1000)));
}

TEST_CASE("callers of a load twice as high get their answers in time")
{
    // One statement each 5 ms for members that take one each 10 ms.
    auto rate = busy_members();
    int waiting = 5;
    int taken = 0;
    int late = 0;
    int refused = 0;
    for (int time = 1000; time < 5000; time += 5)
    {
        if (time % 10 == 0 && waiting > 0)
        {
            --waiting;
            rate.note_dispatch(static_cast<std::size_t>(waiting), at(time));
        }
        if (rate.meets_deadline(static_cast<std::size_t>(waiting),
                                duration(120), duration(0), at(time)))
        {
            ++waiting;
            ++taken;
            late += waiting * 10 > 140 ? 1 : 0;
        }
        else
        {
            ++refused;
        }
    }
    CHECK(late == 0);
    CHECK(taken >= 390); // the members are kept busy
    CHECK(refused >= 380);
}

TEST_CASE("what a member takes for an answer is part of the time")
{
    // As above, and each answer takes 60 ms after the sending. Whoever asks
    // adds a reserve: here the interval between two sendings.
    constexpr int service = 60;
    constexpr int reserve = 10;
    constexpr int goal = 120;
    auto rate = busy_members();
    std::vector<int> waiting; // by the arrival
    int in_goal = 0;
    int late = 0;
    for (int time = 1000; time < 5000; time += 5)
    {
        if (time % 10 == 0 && !waiting.empty())
        {
            auto const answered = time + service - waiting.front();
            ++(answered <= goal ? in_goal : late);
            waiting.erase(waiting.begin());
            rate.note_dispatch(waiting.size(), at(time));
        }
        if (rate.meets_deadline(waiting.size(), duration(goal),
                                duration(service + reserve), at(time)))
        {
            waiting.push_back(time);
        }
    }
    CHECK(in_goal >= 380); // the members are kept busy
    CHECK(late <= 20);
}

TEST_CASE("members that take nothing any more make waits as long as that")
{
    auto const rate = busy_members();
    CHECK(rate.meets_deadline(2, duration(120), duration(0), at(1050)));
    CHECK_FALSE(rate.meets_deadline(2, duration(120), duration(0), at(1200)));
}

TEST_CASE("after a pause without waiting statements the pace is kept")
{
    auto rate = busy_members();
    rate.note_dispatch(0, at(1010));
    CHECK(rate.meets_deadline(5, duration(120), duration(0), at(9000)));
    rate.note_dispatch(3, at(9000));
    CHECK(rate.expected_wait(10, at(9000)) < duration(120));
}
