#include <doctest/doctest.h>

#include <camphortide/coordination/primary/fencing_token.hpp>
#include <camphortide/coordination/primary/primary_permit.hpp>

namespace coordination = camphortide::coordination;
namespace state = camphortide::state;
using coordination::permit_lease;
using coordination::primary_permit;
using coordination::primary_status;

namespace
{

state::time_point at(int ms)
{
    return state::time_point(state::duration(ms));
}

primary_status open(state::store_revision const& revision, int verified_at)
{
    return {3, "m1", true, false, false, revision, at(verified_at)};
}

primary_status closing(state::store_revision const& revision, int verified_at)
{
    return {3, "m1", false, true, false, revision, at(verified_at)};
}

} // namespace

TEST_CASE("a permit lapses with the verification that it is based on")
{
    primary_permit permit;
    CHECK_FALSE(permit.allows(at(0)));
    permit.renew(open(5, 1000));
    CHECK(permit.allows(at(1000)));
    CHECK(permit.allows(at(999) + permit_lease));
    CHECK_FALSE(permit.allows(at(1000) + permit_lease));
    CHECK_FALSE(permit.still_allows(5, at(1000) + permit_lease));
    permit.renew(open(5, 2000));
    CHECK(permit.still_allows(5, at(1000) + permit_lease));
}

TEST_CASE("older verifications change nothing")
{
    primary_permit permit;
    permit.renew(open(5, 2000));
    permit.renew(open(5, 1000));
    permit.renew(open(4, 9000));
    CHECK(permit.allows(at(1999) + permit_lease));
    CHECK_FALSE(permit.allows(at(2000) + permit_lease));
}

TEST_CASE("a closed record stays closed, and a later one opens the permit")
{
    primary_permit permit;
    permit.renew(open(5, 0));
    permit.close(6);
    CHECK_FALSE(permit.allows(at(1)));
    CHECK_FALSE(permit.still_allows(5, at(1)));
    permit.renew(open(5, 100)); // a verification that was in transit
    CHECK_FALSE(permit.allows(at(101)));
    permit.renew(open(7, 50));
    CHECK(permit.allows(at(101)));
}

TEST_CASE("uses that have begun may complete during an orderly closing")
{
    primary_permit permit;
    permit.renew(open(5, 0));
    permit.stop(6);
    CHECK_FALSE(permit.allows(at(10)));
    CHECK(permit.still_allows(5, at(10)));
    permit.renew(closing(6, 20));
    CHECK(permit.still_allows(5, at(30)));
    CHECK_FALSE(permit.still_allows(5, at(0) + permit_lease));
    permit.close(6);
    CHECK_FALSE(permit.still_allows(5, at(30)));
}

TEST_CASE("a use under an earlier record doesn't continue under a later one")
{
    primary_permit permit;
    permit.renew(open(5, 0));
    permit.renew(open(9, 10));
    CHECK_FALSE(permit.still_allows(5, at(20)));
    CHECK(permit.still_allows(9, at(20)));
}

// Guards against a closing that closes nothing, as the permit is of before a
// restore.
TEST_CASE("a closing after a restore ends the permit of before")
{
    primary_permit permit;
    permit.renew(open({50, 1}, 0));
    permit.close({20, 2});
    CHECK_FALSE(permit.allows(at(1)));
    CHECK_FALSE(permit.still_allows({50, 1}, at(1)));
    permit.renew(open({51, 1}, 10)); // a late verification
    CHECK_FALSE(permit.allows(at(11)));
    permit.renew(open({21, 2}, 10));
    CHECK(permit.allows(at(11)));
}

TEST_CASE("a use of before a restore continues under the confirmed record")
{
    primary_permit permit;
    permit.renew(open({50, 1}, 0));
    SUBCASE("of the same primary")
    {
        permit.renew(open({20, 2}, 10));
        CHECK(permit.still_allows({50, 1}, at(20)));
        permit.close({20, 2});
        CHECK_FALSE(permit.still_allows({50, 1}, at(20)));
    }
    SUBCASE("not of another term")
    {
        auto status = open({20, 2}, 10);
        status.m_term = 4;
        permit.renew(status);
        CHECK_FALSE(permit.still_allows({50, 1}, at(20)));
        CHECK(permit.still_allows({20, 2}, at(20)));
    }
}

TEST_CASE("a restored record permits nothing until it is confirmed")
{
    state::term_record const record{"g",   3,
                                    "m1",  state::term_phase::open,
                                    false, coordination::tokens_per_era + 4,
                                    ""};
    CHECK_FALSE(coordination::status_of({record, {20, 2}}, true, at(0)));
    auto const status = coordination::status_of({record, {20, 1}}, true, at(0));
    REQUIRE(status);
    CHECK(status->m_open);
}
