#include <doctest/doctest.h>

#include <camphortide/coordination/request/freshness.hpp>

namespace state = camphortide::state;
using camphortide::coordination::freshness;
using state::member_role;

namespace
{

state::time_point at(int ms)
{
    return state::time_point(state::duration(ms));
}

state::member_status answer(char const* member, member_role role,
                            std::uint64_t granted, std::uint64_t index,
                            std::uint64_t probe)
{
    state::member_status result;
    result.m_member = member;
    result.m_role = role;
    result.m_granted = state::term(granted);
    result.m_followed = state::term(granted);
    result.m_received = {state::term(granted), index};
    result.m_probe = probe;
    return result;
}

/// Confirms a probe of a group whose primary's log ends at an index.
void confirm(freshness& samples, std::uint64_t probe, int sent,
             std::uint64_t index, std::uint64_t term = 7)
{
    samples.note_probe_sent(probe, at(sent));
    samples.note_status(answer("a", member_role::primary, term, index, probe));
    samples.note_status(answer("b", member_role::replica, term, 0, probe));
}

} // namespace

TEST_CASE("the age is measured from the time the probe was sent")
{
    freshness samples(3);
    confirm(samples, 1, 100, 50);
    CHECK(samples.age_bound(50, at(130)) == state::duration(31));
    CHECK(samples.age_bound(49, at(130)) == std::nullopt);
}

TEST_CASE("a partitioned primary confirms nothing")
{
    freshness samples(3);
    samples.note_probe_sent(1, at(100));
    CHECK_FALSE(
        samples.note_status(answer("a", member_role::primary, 7, 50, 1)));
    SUBCASE("alone") {}
    SUBCASE("while the others granted a higher term")
    {
        samples.note_status(answer("b", member_role::replica, 9, 60, 1));
        samples.note_status(answer("c", member_role::fenced, 9, 60, 1));
    }
    SUBCASE("with an answer of another member to an earlier probe")
    {
        samples.note_status(answer("b", member_role::replica, 7, 50, 0));
    }
    SUBCASE("with its own answer twice")
    {
        samples.note_status(answer("a", member_role::primary, 7, 50, 1));
    }
    CHECK(samples.samples().empty());
}

TEST_CASE("a primary that granted a higher term confirms nothing")
{
    freshness samples(3);
    samples.note_probe_sent(1, at(100));
    auto fenced = answer("a", member_role::primary, 7, 50, 1);
    fenced.m_granted = state::term(9);
    samples.note_status(fenced);
    samples.note_status(answer("b", member_role::replica, 9, 50, 1));
    CHECK(samples.samples().empty());
}

TEST_CASE("an answer to an old probe does not confirm a newer one")
{
    freshness samples(3);
    samples.note_probe_sent(1, at(100));
    samples.note_probe_sent(2, at(200));
    samples.note_status(answer("a", member_role::primary, 7, 50, 2));
    samples.note_status(answer("b", member_role::replica, 7, 50, 1));
    CHECK(samples.samples().empty());
    samples.note_status(answer("c", member_role::replica, 7, 50, 2));
    CHECK(samples.as_of(50) == at(200));
}

TEST_CASE("a later answer of another member confirms an earlier probe")
{
    freshness samples(3);
    samples.note_probe_sent(1, at(100));
    samples.note_probe_sent(2, at(200));
    samples.note_status(answer("a", member_role::primary, 7, 50, 1));
    samples.note_status(answer("b", member_role::replica, 7, 50, 2));
    CHECK(samples.as_of(50) == at(100));
}

TEST_CASE("each age selects the sample that it requires")
{
    freshness samples(3);
    confirm(samples, 1, 100, 50);
    confirm(samples, 2, 200, 60);
    confirm(samples, 3, 300, 70);
    struct
    {
        int m_age;
        std::optional<std::uint64_t> m_index;
    } const rows[]{{321, 50}, {221, 50}, {220, 60}, {21, 70}, {20, {}}};
    for (auto const& row : rows)
    {
        CAPTURE(row.m_age);
        CHECK(samples.required_index(state::duration(row.m_age), at(320)) ==
              row.m_index);
    }
}

TEST_CASE("an idle group stays fresh")
{
    freshness samples(3);
    confirm(samples, 1, 100, 50);
    confirm(samples, 2, 900, 50);
    CHECK(samples.age_bound(50, at(910)) == state::duration(11));
    CHECK(samples.first_seen(50) == at(100));
}

TEST_CASE(
    "the shorter log of a new primary replaces the samples of the lost tail")
{
    freshness samples(3);
    confirm(samples, 1, 100, 50);
    confirm(samples, 2, 200, 80);
    confirm(samples, 3, 300, 60, 9);
    CHECK(samples.as_of(60) == at(300));
    CHECK(samples.as_of(59) == at(100));
}

TEST_CASE(
    "a full sample buffer stays bounded and never reports data as too recent")
{
    freshness samples(3);
    int const probes = 5000;
    for (int i = 1; i <= probes; ++i)
    {
        confirm(samples, static_cast<std::uint64_t>(i), i * 10,
                static_cast<std::uint64_t>(i));
    }
    CHECK(samples.samples().size() <= freshness::max_samples);
    for (int i = 1; i <= probes; ++i)
    {
        auto const time = samples.as_of(static_cast<std::uint64_t>(i));
        CHECK((!time || *time <= at(i * 10)));
    }
    CHECK(samples.as_of(5000) == at(50000));
}
