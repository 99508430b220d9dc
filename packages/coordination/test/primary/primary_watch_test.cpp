#include <doctest/doctest.h>

#include <camphortide/coordination/primary/primary_watch.hpp>

namespace coordination = camphortide::coordination;
namespace state = camphortide::state;
using coordination::primary_loss;
using coordination::primary_watch;

namespace
{

constexpr std::size_t fleet = 7;

state::time_point at(int ms)
{
    return state::time_point(state::duration(ms));
}

void tick(primary_watch& watch, int from, int to)
{
    for (int time = from; time <= to; time += 40)
    {
        watch.tick(at(time));
    }
}

} // namespace

TEST_CASE("a primary that answers is not lost")
{
    primary_watch watch;
    watch.begin(at(0));
    for (int time = 0; time < 5000; time += 200)
    {
        tick(watch, time, time + 160);
        watch.note_answer(at(time + 180));
        CHECK(watch.evaluate(fleet, at(time + 199)) == primary_loss::none);
    }
}

TEST_CASE("two refusals indicate a loss, one doesn't")
{
    primary_watch watch;
    watch.begin(at(0));
    watch.note_refusal(at(100));
    CHECK(watch.evaluate(fleet, at(110)) == primary_loss::none);
    SUBCASE("the connection was reset, and the primary answers on a new one")
    {
        watch.note_answer(at(120));
        watch.note_refusal(at(130));
        CHECK(watch.evaluate(fleet, at(140)) == primary_loss::none);
    }
    SUBCASE("the address refuses")
    {
        watch.note_refusal(at(140));
        CHECK(watch.evaluate(fleet, at(140)) == primary_loss::refuses);
    }
}

TEST_CASE("no answer indicates a loss unless this process was suspended")
{
    primary_watch watch;
    watch.begin(at(0));
    tick(watch, 0, 680);
    CHECK(watch.evaluate(fleet, at(699)) == primary_loss::none);
    CHECK(watch.evaluate(fleet, at(700)) == primary_loss::silent);
    watch.tick(at(4000)); // suspended in between
    CHECK(watch.evaluate(fleet, at(4000)) == primary_loss::none);
}

TEST_CASE("a process that is short of processor time waits longer for answers")
{
    primary_watch watch;
    watch.begin(at(0));
    for (int time = 0; time <= 1200; time += 200)
    {
        watch.tick(at(time));
        CHECK(watch.evaluate(fleet, at(time)) == primary_loss::none);
    }
    SUBCASE("an answer that was read late counts")
    {
        watch.note_answer(at(1300));
        watch.tick(at(1300));
        CHECK(watch.evaluate(fleet, at(2000)) == primary_loss::none);
    }
    SUBCASE("a lost primary is still noticed")
    {
        for (int time = 1400; time <= 3600; time += 200)
        {
            watch.tick(at(time));
        }
        CHECK(watch.evaluate(fleet, at(3700)) == primary_loss::silent);
    }
    SUBCASE("the usual timeout holds again once ticks are punctual")
    {
        tick(watch, 1240, 2800);
        watch.note_answer(at(2800));
        tick(watch, 2840, 3480);
        CHECK(watch.evaluate(fleet, at(3480)) == primary_loss::none);
        CHECK(watch.evaluate(fleet, at(3500)) == primary_loss::silent);
    }
}

TEST_CASE("a primary whose entry has never been seen is waited for")
{
    // The holder has just started, and the entries lapsed while the store was
    // unavailable.
    primary_watch watch;
    watch.begin(at(0));
    for (int time = 0; time < 2500; time += 40)
    {
        watch.tick(at(time));
        watch.note_answer(at(time));
        watch.note_registration(false, at(time));
        CHECK(watch.evaluate(fleet, at(time)) == primary_loss::none);
    }
    SUBCASE("the entry is back")
    {
        watch.note_registration(true, at(2499));
        CHECK(watch.evaluate(fleet, at(2600)) == primary_loss::none);
        watch.note_registration(false, at(2600));
        CHECK(watch.evaluate(fleet, at(2600)) == primary_loss::unregistered);
    }
    SUBCASE("the member is gone")
    {
        CHECK(watch.evaluate(fleet, at(2500)) == primary_loss::unregistered);
    }
}

// Guards against a primary that counts as silent although nobody can ask it.
TEST_CASE("the silence of a primary without an entry isn't a loss")
{
    primary_watch watch;
    watch.begin(at(0));
    for (int time = 0; time <= 2400; time += 40)
    {
        watch.tick(at(time));
        watch.note_registration(false, at(time));
        CHECK(watch.evaluate(fleet, at(time)) == primary_loss::none);
    }
    SUBCASE("it is asked once its entry is back")
    {
        watch.note_registration(true, at(2440));
        tick(watch, 2440, 3120);
        CHECK(watch.evaluate(fleet, at(3139)) == primary_loss::none);
        CHECK(watch.evaluate(fleet, at(3140)) == primary_loss::silent);
    }
    SUBCASE("it is lost if its entry isn't back")
    {
        CHECK(watch.evaluate(fleet, at(2500)) == primary_loss::unregistered);
    }
}

TEST_CASE("repeated reports of several instances indicate a loss")
{
    primary_watch watch;
    watch.begin(at(0));
    for (int time = 0; time <= 1000; time += 200)
    {
        watch.note_answer(at(time));
        watch.tick(at(time));
        watch.note_report("a", at(time));
        watch.note_report("a", at(time + 1));
    }
    CHECK(watch.evaluate(fleet, at(1000)) == primary_loss::none);
    for (int time = 1000; time <= 1400; time += 200)
    {
        watch.note_answer(at(time));
        watch.tick(at(time));
        watch.note_report("a", at(time));
        watch.note_report("b", at(time));
        watch.note_report("c", at(time));
    }
    CHECK(watch.evaluate(fleet, at(1410)) == primary_loss::lost_to_others);
    CHECK(watch.evaluate(20, at(1410)) == primary_loss::none);
    watch.note_answer(at(3000));
    CHECK(watch.evaluate(fleet, at(3000)) == primary_loss::none);
}
