#include <doctest/doctest.h>

#include <camphortide/coordination/primary/promotion_calls.hpp>

namespace coordination = camphortide::coordination;
namespace state = camphortide::state;

namespace
{

constexpr auto lifetime =
    static_cast<int>(coordination::promotion_call_lifetime.count());

state::time_point at(int ms)
{
    return state::time_point(state::duration(ms));
}

} // namespace

TEST_CASE("promotion requests are settled once all are answered")
{
    coordination::promotion_calls calls;
    CHECK(calls.settled(at(0)));
    calls.sent(3, at(100));
    calls.sent(3, at(110));
    CHECK_FALSE(calls.settled(at(120)));
    calls.finished(true, at(120));
    CHECK_FALSE(calls.settled(at(20000)));
    calls.finished(true, at(130));
    CHECK(calls.settled(at(130)));
}

TEST_CASE("a promotion request that was given up may arrive for its lifetime")
{
    coordination::promotion_calls calls;
    calls.sent(3, at(100));
    calls.finished(false, at(600));
    CHECK_FALSE(calls.settled(at(100 + lifetime - 1)));
    CHECK(calls.settled(at(100 + lifetime)));
    calls.sent(3, at(5000));
    calls.finished(true, at(5010));
    CHECK(calls.settled(at(5010)));
}

TEST_CASE("requests with a new token wait for those with the former one")
{
    coordination::promotion_calls calls;
    CHECK(calls.allows(7, at(0)));
    calls.sent(3, at(100));
    CHECK(calls.allows(3, at(200)));
    CHECK_FALSE(calls.allows(7, at(200)));
    calls.finished(false, at(600));
    CHECK_FALSE(calls.allows(7, at(700)));
    CHECK(calls.allows(7, at(100 + lifetime)));
}
