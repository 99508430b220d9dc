#include <vector>

#include <doctest/doctest.h>

#include <camphortide/coordination/limits/group_shares.hpp>

using namespace camphortide::coordination;
namespace state = camphortide::state;

namespace
{

state::time_point at(int ms)
{
    return state::time_point(state::duration(ms));
}

entry_limits entry(std::string const& name)
{
    entry_limits limits;
    limits.m_name = name;
    limits.m_rate = 100.0;
    limits.m_concurrency = 10;
    return limits;
}

/// A store that answers at once.
struct ledger_store
{
    void serve(group_shares& shares, state::time_point now)
    {
        auto& manager = shares.manager();
        while (auto const call = manager.step(now))
        {
            if (!call->m_write)
            {
                manager.read_done(call->m_number, m_ledger, m_version, now);
                continue;
            }
            if (call->m_if_version != m_version)
            {
                manager.write_conflict(call->m_number, now);
                continue;
            }
            m_ledger = call->m_ledger;
            m_version += 1;
            manager.write_done(call->m_number, m_version, now);
        }
    }

    share_ledger m_ledger;
    std::uint64_t m_version = 0;
};

/// Two homes of a group with one member and one entry.
struct two_homes
{
    two_homes()
    {
        for (auto* const home : {&m_a, &m_b})
        {
            home->set_group(1, 2, m_members, m_entries);
        }
    }

    /// @param rate_a, rate_b requests per second at each home
    void run(int seconds, int rate_a, int rate_b)
    {
        for (int i = 0; i < seconds; ++i)
        {
            m_now += state::duration(1000);
            offer(m_a, rate_a);
            offer(m_b, rate_b);
        }
    }

    void offer(group_shares& home, int rate)
    {
        for (int i = 0; i < rate; ++i)
        {
            home.arrived("e");
        }
        home.arrived("unknown");
        home.observe("e", {2, 0, {}}, m_now);
        home.observe("unknown", {2, 0, {}}, m_now);
        home.observe_member("m1", 16, 2);
        m_store.serve(home, m_now);
    }

    state::time_point m_now = at(0);
    std::vector<member_connections> m_members{{"m1", 16}};
    std::vector<entry_limits> m_entries{entry("e")};
    ledger_store m_store;
    group_shares m_a{{"a", 1}, share_timing{}, 0.1};
    group_shares m_b{{"b", 1}, share_timing{}, 0.6};
};

} // namespace

TEST_CASE("a home starts without shares, and a single home gets all")
{
    two_homes homes;
    auto const before = homes.m_a.local_entries(at(0));
    REQUIRE(before.size() == 1);
    CHECK(before.front().m_rate == 0.0);
    CHECK(before.front().m_concurrency == 0U);
    homes.m_store.serve(homes.m_a, at(1));
    CHECK(homes.m_a.connections("m1", at(1)).m_amount ==
          8); // b's part stays free
    homes.m_a.set_group(1, 1, homes.m_members, homes.m_entries);
    homes.m_store.serve(homes.m_a, at(1));
    auto const after = homes.m_a.local_entries(at(1));
    CHECK(after.front().m_rate == 100.0);
    CHECK(after.front().m_concurrency == 10U);
    CHECK(homes.m_a.connections("m1", at(1)) ==
          share_allowance{16, share_guarantee::exclusive});
    CHECK(homes.m_a.connections("m2", at(1)).m_amount == 0);
}

TEST_CASE("local limits follow the demand and add up to the limits")
{
    two_homes homes;
    homes.run(60, 80, 10);
    auto const a = homes.m_a.local_entries(homes.m_now).front();
    auto const b = homes.m_b.local_entries(homes.m_now).front();
    CHECK(*a.m_rate > *b.m_rate);
    CHECK(*b.m_rate >= 25); // half an even part
    CHECK(*a.m_rate + *b.m_rate == doctest::Approx(100));
    CHECK(*a.m_concurrency + *b.m_concurrency == 10);
    CHECK(homes.m_a.connections("m1", homes.m_now).m_amount +
              homes.m_b.connections("m1", homes.m_now).m_amount ==
          16);
}

TEST_CASE("a catalogue change applies new limits and keeps the demand")
{
    two_homes homes;
    homes.run(60, 80, 10);
    auto unlimited = entry("f");
    unlimited.m_rate.reset();
    unlimited.m_concurrency.reset();
    auto wider = entry("e");
    wider.m_rate = 300.0;
    std::vector const entries{wider, unlimited};
    homes.m_a.set_group(2, 2, homes.m_members, entries);
    homes.m_b.set_group(2, 2, homes.m_members, entries);
    homes.run(30, 80, 10);
    auto const a = homes.m_a.local_entries(homes.m_now);
    auto const b = homes.m_b.local_entries(homes.m_now);
    REQUIRE(a.size() == 2);
    CHECK(*a[0].m_rate + *b[0].m_rate == doctest::Approx(300));
    CHECK(*a[0].m_rate > *b[0].m_rate);
    CHECK_FALSE(a[1].m_rate);
    CHECK_FALSE(a[1].m_concurrency);
}

TEST_CASE("a home without demand keeps half an even part")
{
    two_homes homes;
    homes.run(60, 200, 0);
    auto const b = homes.m_b.local_entries(homes.m_now).front();
    CHECK(*b.m_rate == doctest::Approx(25));
}
