#include <string>

#include <doctest/doctest.h>

#include <camphortide/coordination/placing/customer_activity.hpp>

namespace state = camphortide::state;
using camphortide::coordination::customer_activity;

namespace
{

state::time_point at(int ms)
{
    return state::time_point(state::duration(ms));
}

} // namespace

TEST_CASE("the rate of a customer follows its uses and fades")
{
    customer_activity activity;
    for (int ms = 0; ms <= 200000; ms += 500)
    {
        activity.record_use("a", at(ms));
        if (ms % 5000 == 0)
        {
            activity.record_use("b", at(ms));
        }
    }
    auto const now = at(200000);
    CHECK(activity.rate("a", now) == doctest::Approx(2).epsilon(0.05));
    CHECK(activity.rate("b", now) == doctest::Approx(0.2).epsilon(0.2));
    CHECK(activity.rate("c", now) == 0);
    CHECK(activity.rate_of_others("a", now) ==
          doctest::Approx(activity.rate("b", now)));
    CHECK(activity.rate("a", at(260000)) < 0.11);
}

TEST_CASE("the rate of others is exactly zero without others")
{
    // A rounding error would reserve a connection for customers that don't
    // exist, where the configuration names none.
    customer_activity activity;
    CHECK(activity.rate_of_others("", at(0)) == 0);
    for (int ms = 0; ms < 5000; ms += 7)
    {
        activity.record_use("", at(ms));
        CHECK(activity.rate_of_others("", at(ms + 3)) == 0);
    }
}

TEST_CASE("customers that are gone are forgotten")
{
    // Guards against memory that grows with all customers ever seen.
    customer_activity activity;
    for (int index = 0; index < 20000; ++index)
    {
        activity.record_use(std::to_string(index), at(index * 100));
    }
    CHECK(activity.size() < 1300);
}
