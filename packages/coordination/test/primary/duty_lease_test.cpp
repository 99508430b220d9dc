#include <doctest/doctest.h>

#include <camphortide/coordination/primary/duty_lease.hpp>
#include <camphortide/coordination/primary/fencing_token.hpp>
#include <camphortide/coordination/primary/promotion_calls.hpp>

namespace coordination = camphortide::coordination;
namespace state = camphortide::state;
using coordination::duty_lease;

namespace
{

using record = std::optional<state::stored<state::duty_record>>;

state::time_point at(int ms)
{
    return state::time_point(state::duration(ms));
}

record held_by(std::string const& name, std::uint64_t token,
               std::uint64_t renewals, std::uint64_t revision)
{
    return state::stored<state::duty_record>{{name, 7, token, renewals},
                                             revision};
}

/// Reads the record every 500 ms.
void read(duty_lease& lease, record const& value, int from, int to)
{
    for (int time = from; time <= to; time += 500)
    {
        lease.observe(value, false, at(time));
    }
}

} // namespace

TEST_CASE("a missing record is created, and only a completed write counts")
{
    duty_lease lease("a", 7);
    CHECK_FALSE(lease.step(at(0)).has_value());
    lease.observe({}, false, at(1000));
    auto const write = lease.step(at(1000));
    REQUIRE(write.has_value());
    CHECK(write->m_revision == 0);
    CHECK(write->m_record.m_token == 1);
    CHECK_FALSE(lease.holds(at(1000)));
    lease.write_finished(5, at(1010));
    CHECK(lease.holds(at(1010)));
    CHECK(lease.token() == 1);
    // The lease runs from when the write was sent.
    CHECK(lease.holds(at(4499)));
    CHECK_FALSE(lease.holds(at(4500)));
    CHECK_FALSE(lease.holds(at(4000), state::duration(500)));
}

TEST_CASE("another instance's record isn't taken over while it changes")
{
    duty_lease lease("b", 8);
    for (std::uint64_t i = 0; i < 20; ++i)
    {
        auto const now = at(static_cast<int>(i) * 1000);
        lease.observe(held_by("a", 1, 1 + i, 5 + i), false, now);
        CHECK_FALSE(lease.step(now).has_value());
    }
}

TEST_CASE(
    "an unchanged record is taken over after the lease, with a higher token")
{
    duty_lease lease("b", 8);
    read(lease, held_by("a", 4, 9, 5), 1000, 4500);
    CHECK_FALSE(lease.step(at(4900)).has_value());
    lease.observe(held_by("a", 4, 9, 5), false, at(5000));
    auto const write = lease.step(at(5000));
    REQUIRE(write.has_value());
    CHECK(write->m_revision == 5);
    CHECK(write->m_record.m_token == 5);
}

TEST_CASE("a weak host leaves a free duty to others for a moment")
{
    coordination::duty_lease_settings settings;
    settings.m_hesitation = coordination::duty_hesitation(0.12);
    CHECK(settings.m_hesitation > state::duration(0));
    CHECK(coordination::duty_hesitation(0.25) == state::duration(0));
    duty_lease lease("b", 8, settings);
    auto const wait = static_cast<int>(settings.m_hesitation.count());
    SUBCASE("there is no record")
    {
        lease.observe({}, false, at(1000));
        CHECK_FALSE(lease.step(at(1000 + wait - 1)).has_value());
        CHECK(lease.step(at(1000 + wait)).has_value());
    }
    SUBCASE("the duty is released")
    {
        lease.observe(held_by("", 4, 9, 5), false, at(1000));
        CHECK_FALSE(lease.step(at(1000 + wait - 1)).has_value());
        CHECK(lease.step(at(1000 + wait)).has_value());
    }
    SUBCASE("the record has not changed for the lease")
    {
        read(lease, held_by("a", 4, 9, 5), 1000, 5000);
        CHECK_FALSE(lease.step(at(5000 + wait - 1)).has_value());
        CHECK(lease.step(at(5000 + wait)).has_value());
    }
}

TEST_CASE("an outage of the store doesn't end the holder's lease")
{
    duty_lease lease("b", 8);
    read(lease, held_by("a", 4, 9, 5), 1000, 2000);
    lease.observe(held_by("a", 4, 9, 5), false, at(9000));
    CHECK_FALSE(lease.step(at(9000)).has_value());
    read(lease, held_by("a", 4, 9, 5), 9500, 12500);
    CHECK_FALSE(lease.step(at(12900)).has_value());
    lease.observe(held_by("a", 4, 9, 5), false, at(13000));
    CHECK(lease.step(at(13000)).has_value());
}

TEST_CASE(
    "the record of a released duty or an ended process is taken over at once")
{
    duty_lease released("b", 8);
    released.observe(held_by("", 4, 9, 5), false, at(1000));
    CHECK(released.step(at(1000)).has_value());
    duty_lease gone("b", 8);
    gone.observe(held_by("a", 4, 9, 5), true, at(1000));
    CHECK(gone.step(at(1000)).has_value());
    duty_lease own("a", 8); // the record's process has start time 7
    own.observe(held_by("a", 4, 9, 5), false, at(1000));
    CHECK_FALSE(own.holds(at(1000)));
    CHECK(own.step(at(1000))->m_record.m_token == 5);
}

TEST_CASE("a renewal without an answer counts only once it is read back")
{
    duty_lease lease("a", 7);
    lease.observe({}, false, at(1000));
    auto const created = lease.step(at(1000));
    lease.write_finished(5, at(1010));
    auto const lost = lease.step(at(2000));
    REQUIRE(lost.has_value());
    lease.write_finished({}, at(2800));
    CHECK_FALSE(lease.holds(at(4500)));
    SUBCASE("it was executed")
    {
        lease.observe(state::stored<state::duty_record>{lost->m_record, 6},
                      false, at(4600));
        CHECK(lease.holds(at(4600)));
        CHECK(lease.holds(at(5499)));
        CHECK_FALSE(lease.holds(at(5500)));
    }
    SUBCASE(
        "a second attempt was sent meanwhile: the first confirms only itself")
    {
        auto const second = lease.step(at(2900));
        REQUIRE(second.has_value());
        CHECK(second->m_record != lost->m_record);
        lease.write_finished({}, at(3700));
        lease.observe(state::stored<state::duty_record>{lost->m_record, 6},
                      false, at(4600));
        // The second attempt may still be executed, but isn't confirmed.
        CHECK_FALSE(lease.holds(at(5600)));
    }
}

TEST_CASE("a replaced holder stops at once")
{
    duty_lease lease("a", 7);
    lease.observe({}, false, at(1000));
    lease.step(at(1000));
    lease.write_finished(5, at(1010));
    lease.observe(held_by("b", 2, 1, 6), false, at(1500));
    CHECK_FALSE(lease.holds(at(1500)));
    lease.observe(held_by("a", 1, 1, 5), false, at(1600)); // an outdated read
    CHECK_FALSE(lease.holds(at(1600)));
}

TEST_CASE("a released duty is neither held nor renewed")
{
    duty_lease lease("a", 7);
    lease.observe({}, false, at(1000));
    lease.step(at(1000));
    lease.write_finished(5, at(1010));
    auto const write = lease.release();
    REQUIRE(write.has_value());
    CHECK(write->m_record.m_holder.empty());
    CHECK(write->m_record.m_token == 1);
    CHECK_FALSE(lease.holds(at(1020)));
    CHECK_FALSE(lease.step(at(3000)).has_value());
}

namespace
{

constexpr std::uint64_t era_tokens = coordination::tokens_per_era;

/// @return a record as it was read in an era of the store
record read_in_era(std::uint64_t era, std::string const& holder,
                   std::uint64_t token, std::uint64_t revision)
{
    return state::stored<state::duty_record>{{holder, 7, token, 1},
                                             {revision, era}};
}

/// Takes a missing duty in era 1, with the first token of the era.
void take_in_era_1(duty_lease& lease)
{
    lease.note_store(1, 0);
    lease.observe({}, false, at(1000));
    auto const write = lease.step(at(1000));
    REQUIRE(write.has_value());
    CHECK(write->m_record.m_token == era_tokens + 1);
    lease.write_finished(state::store_revision(5, 1), at(1010));
    REQUIRE(lease.holds(at(1010)));
}

} // namespace

TEST_CASE("a holder of before a restore continues with a token of the new era")
{
    duty_lease lease("a", 7);
    take_in_era_1(lease);
    // The copy is of before it took the duty.
    lease.observe(read_in_era(2, "b", era_tokens, 3), false, at(2000));
    CHECK_FALSE(lease.holds(at(2000)));
    auto const write = lease.step(at(2000));
    REQUIRE(write.has_value());
    CHECK(write->m_revision.number() == 3);
    CHECK(write->m_record.m_token == 2 * era_tokens + 1);
    lease.write_finished(state::store_revision(4, 2), at(2010));
    CHECK(lease.holds(at(2010)));
}

// Guards against a token that the holder of before a restore has used.
TEST_CASE("a restored record is taken over only after the lease")
{
    duty_lease lease("a", 8);
    auto const restored = [](int ms)
    {
        // Its own earlier process, a free duty, and another holder.
        return ms == 0   ? read_in_era(2, "a", era_tokens + 1, 3)
               : ms == 1 ? read_in_era(2, "", era_tokens + 1, 3)
                         : read_in_era(2, "b", era_tokens + 1, 3);
    };
    int variant = 0;
    SUBCASE("of an earlier process")
    {
        variant = 0;
    }
    SUBCASE("of a free duty")
    {
        variant = 1;
    }
    SUBCASE("of an ended process")
    {
        variant = 2;
    }
    for (int time = 1000; time <= 4500; time += 500)
    {
        lease.observe(restored(variant), true, at(time));
        CHECK_FALSE(lease.step(at(time)).has_value());
    }
    lease.observe(restored(variant), true, at(5000));
    auto const write = lease.step(at(5000));
    REQUIRE(write.has_value());
    CHECK(write->m_record.m_token == 2 * era_tokens + 1);
}

TEST_CASE("answers of an earlier era change nothing")
{
    duty_lease lease("a", 7);
    take_in_era_1(lease);
    auto const renewal = lease.step(at(2010));
    REQUIRE(renewal.has_value());
    lease.observe(read_in_era(2, "b", era_tokens, 3), false, at(2020));
    SUBCASE("of a write")
    {
        lease.write_finished(state::store_revision(6, 1), at(2030));
    }
    SUBCASE("of a read")
    {
        lease.write_finished({}, at(2030));
        lease.observe(read_in_era(1, "a", era_tokens + 1, 90), false, at(2030));
    }
    CHECK_FALSE(lease.holds(at(2030)));
    auto const write = lease.step(at(2300));
    REQUIRE(write.has_value());
    CHECK(write->m_record.m_token == 2 * era_tokens + 1);
}

TEST_CASE("a late write of an earlier era doesn't free a token for others")
{
    duty_lease lease("a", 7);
    lease.note_store(2, 2 * era_tokens + 6);
    // It was sent in era 1 and executed in era 2.
    lease.observe(read_in_era(2, "b", era_tokens + 9, 30), false, at(1000));
    for (int time = 1500; time <= 5000; time += 500)
    {
        lease.observe(read_in_era(2, "b", era_tokens + 9, 30), false, at(time));
    }
    auto const write = lease.step(at(5000));
    REQUIRE(write.has_value());
    CHECK(write->m_record.m_token == 2 * era_tokens + 7);
}

TEST_CASE("an odd token of another writer doesn't use up the tokens")
{
    duty_lease lease("a", 7);
    lease.note_store(0, 9007199254740992U);
    lease.observe({}, false, at(1000));
    CHECK(lease.step(at(1000))->m_record.m_token == 1);
}

TEST_CASE("later holders learn that the permits of earlier eras have lapsed")
{
    duty_lease lease("a", 7);
    take_in_era_1(lease);
    CHECK_FALSE(lease.earlier_permits_lapsed());
    lease.note_earlier_permits_lapsed();
    auto const renewal = lease.step(at(2010));
    REQUIRE(renewal.has_value());
    CHECK(renewal->m_record.m_earlier_permits_lapsed);
    duty_lease later("b", 8);
    later.observe(state::stored<state::duty_record>{renewal->m_record, {6, 1}},
                  false, at(2020));
    CHECK(later.earlier_permits_lapsed());
    later.observe(state::stored<state::duty_record>{renewal->m_record, {4, 2}},
                  false, at(2030));
    CHECK_FALSE(later.earlier_permits_lapsed());
}

// Guards against promotion requests of a holder that has ended and that arrive
// after one of the next holder.
TEST_CASE("after an early takeover, the former holder's requests may arrive")
{
    auto const lifetime = coordination::promotion_call_lifetime;
    SUBCASE("the holder's process is known to have ended")
    {
        duty_lease lease("b", 8);
        lease.observe(held_by("a", 4, 9, 5), false, at(1000));
        lease.observe(held_by("a", 4, 9, 5), true, at(1500));
        lease.observe(held_by("a", 4, 9, 5), true, at(2000));
        REQUIRE(lease.step(at(2000)).has_value());
        CHECK(lease.earlier_calls_until() == at(1500) + lifetime);
    }
    SUBCASE("the holder was an earlier process of this instance")
    {
        duty_lease lease("a", 8);
        lease.observe(held_by("a", 4, 9, 5), false, at(1000));
        REQUIRE(lease.step(at(1000)).has_value());
        CHECK(lease.earlier_calls_until() == at(1000) + lifetime);
    }
    SUBCASE("the lease has lapsed")
    {
        duty_lease lease("b", 8);
        read(lease, held_by("a", 4, 9, 5), 1000, 5000);
        REQUIRE(lease.step(at(5000)).has_value());
        CHECK(lease.earlier_calls_until() <= at(5000));
    }
    SUBCASE("the duty was released")
    {
        duty_lease lease("b", 8);
        lease.observe(held_by("", 4, 9, 5), false, at(1000));
        REQUIRE(lease.step(at(1000)).has_value());
        CHECK(lease.earlier_calls_until() <= at(1000));
    }
}
