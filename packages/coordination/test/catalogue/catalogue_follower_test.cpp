#include "follower_fleet.hpp"

#include <doctest/doctest.h>

namespace coordination = camphortide::coordination;
using camphortide::state::duration;

namespace
{

constexpr duration settling_time{10'000};
constexpr duration propagation_limit{7'000};
constexpr duration expected_propagation{1'000};

struct running_fleet : follower_fleet
{
    running_fleet()
    {
        edit(sample_addition("c1", "members"));
        start_all(12);
        run(settling_time);
        REQUIRE(all_have(1));
    }

    void change(std::uint32_t to)
    {
        edit(sample_rate_change(std::to_string(to), "ana", "members", m_rate,
                                to));
        m_rate = to;
    }

    std::uint32_t m_rate = 100;
};

} // namespace

TEST_CASE_FIXTURE(running_fleet, "a change is in force everywhere in a second")
{
    change(7);
    run(expected_propagation);
    CHECK(all_have(2));
    CHECK_FALSE(m_version_went_back);
}

TEST_CASE_FIXTURE(running_fleet, "only the watchers call the store")
{
    auto const before = m_calls;
    run(duration(60'000));
    // The six watchers read the head once in a second, all together.
    CHECK(m_calls - before < 90);
    CHECK(m_calls - before > 40);
    auto const chunks = m_chunk_reads;
    change(7);
    run(settling_time);
    CHECK(m_chunk_reads == chunks); // the head carries the new chunks
}

TEST_CASE_FIXTURE(running_fleet, "a slow store delays by its own time only")
{
    m_store_delay = duration(3'000);
    run(settling_time);
    change(7);
    run(m_store_delay + expected_propagation);
    CHECK(all_have(2));
}

TEST_CASE_FIXTURE(running_fleet, "watches that are lost silently are made good")
{
    for (std::size_t index = 0; index < 12; ++index)
    {
        m_without_watch_events.insert(name(index));
    }
    change(7);
    run(propagation_limit);
    CHECK(all_have(2));
}

TEST_CASE_FIXTURE(running_fleet, "watchers cut off from the store do no harm")
{
    for (std::size_t index = 0; index < 12; ++index)
    {
        if (at(name(index)).is_watcher() || index % 2 == 0)
        {
            m_without_store.insert(name(index));
        }
    }
    REQUIRE(m_without_store.size() < 12);
    run(settling_time);
    change(7);
    run(propagation_limit);
    CHECK(all_have(2));
}

TEST_CASE_FIXTURE(running_fleet, "a change made as the store comes back is in "
                                 "force in time")
{
    fail_store();
    run(duration(60'000));
    CHECK(all_have(1));
    CHECK(at(name(0)).ready());
    m_store_up = true;
    change(7);
    run(propagation_limit);
    CHECK(all_have(2));
}

TEST_CASE_FIXTURE(running_fleet, "a newcomer starts during an outage")
{
    change(7);
    run(settling_time);
    fail_store();
    run(settling_time);
    start("newcomer", "data-centre-1");
    run(duration(3'000));
    CHECK(at("newcomer").version() == 2);
}

TEST_CASE_FIXTURE(running_fleet,
                  "a newcomer during an outage takes the newest version, not "
                  "the first that it is offered")
{
    // Only instance-3 has version 2.
    m_lost = [](std::string const& from, std::string const& to)
    {
        return from == name(3) || to == name(3);
    };
    for (std::size_t index = 0; index < 12; ++index)
    {
        m_without_store.insert(name(index));
    }
    m_without_store.erase(name(3));
    change(7);
    run(duration(30'000));
    REQUIRE(at(name(3)).version() == 2);
    REQUIRE(at(name(0)).version() == 1);
    fail_store();
    kill(name(5)); // holds version 1
    m_lost = [](std::string const& from, std::string const& to)
    {
        bool const newcomer = from == "newcomer" || to == "newcomer";
        return !newcomer && (from == name(3) || to == name(3));
    };
    start("newcomer", "data-centre-1");
    while (!at("newcomer").ready())
    {
        run(step);
    }
    CHECK(at("newcomer").version() == 2);
}

TEST_CASE_FIXTURE(running_fleet, "an instance that can ask neither the store "
                                 "nor most peers serves nothing")
{
    fail_store();
    m_lost = [](std::string const& from, std::string const& to)
    {
        bool const newcomer = from == "newcomer" || to == "newcomer";
        return newcomer && from != name(1) && to != name(1);
    };
    start("newcomer", "data-centre-1");
    run(duration(60'000));
    CHECK_FALSE(at("newcomer").ready());
    m_lost = {};
    run(settling_time);
    CHECK(at("newcomer").version() == 1);
}

TEST_CASE_FIXTURE(running_fleet, "an older head from the store changes nothing")
{
    change(7);
    run(settling_time);
    auto old = *m_store.head();
    old.m_head.m_version = 1;
    auto& first = at(name(0));
    first.on_store_head(old, now());
    CHECK(first.version() == 2);
    CHECK(first.store_behind());
    first.on_parts(name(1), old, now());
    CHECK(first.version() == 2);
}

TEST_CASE_FIXTURE(running_fleet, "both sides of a partition go on; the side "
                                 "with the store goes ahead, the other follows")
{
    m_lost = [](std::string const& from, std::string const& to)
    {
        return (from == name(3)) != (to == name(3));
    };
    m_without_store.insert(name(3));
    change(7);
    run(propagation_limit);
    CHECK(at(name(0)).version() == 2);
    CHECK(at(name(3)).version() == 1);
    run(duration(180'000));
    m_lost = {};
    run(propagation_limit);
    CHECK(all_have(2));
    CHECK_FALSE(m_version_went_back);
}

TEST_CASE("the store that is back after an outage is not flooded")
{
    follower_fleet fleet;
    fleet.edit(sample_addition("c1", "members"));
    fleet.start_all(60);
    fleet.run(settling_time);
    fleet.fail_store();
    fleet.run(duration(120'000));
    fleet.m_store_up = true;
    auto const before = fleet.m_calls;
    fleet.run(duration(1'000));
    CHECK(fleet.m_calls - before <= 30);
    fleet.run(settling_time);
    for (std::size_t index = 0; index < 60; ++index)
    {
        CHECK_FALSE(fleet.at(follower_fleet::name(index)).store_failing());
    }
}

TEST_CASE("a damaged chunk from a peer is not taken")
{
    follower_fleet fleet;
    fleet.edit(sample_addition("c1", "members"));
    fleet.start("one", "data-centre-0");
    fleet.start("two", "data-centre-0");
    fleet.run(settling_time);
    fleet.edit(sample_rate_change("c2", "ana", "members", 100, 7));
    auto parts = *fleet.m_store.head();
    for (auto& [chunk, bytes] : parts.m_chunks)
    {
        bytes = std::make_shared<std::string const>(*bytes + "x");
    }
    fleet.at("one").on_parts("two", parts, fleet.now());
    CHECK(fleet.at("one").version() == 1);
    fleet.run(settling_time);
    CHECK(fleet.all_have(2));
}

TEST_CASE("a view that chooses a watcher tells at once, one that does not too")
{
    codec_stub const codec;
    coordination::catalogue_follower one(
        coordination::catalogue_follower_settings(), "one", codec, 1, {});
    std::vector<camphortide::state::instance_record> view(1);
    view[0].m_name = "one";
    one.on_view(view, false);
    CHECK_FALSE(one.is_watcher());
    one.on_view(view, true);
    CHECK(one.is_watcher());
    view[0].m_state = camphortide::state::instance_state::leaving;
    one.on_view(view, true);
    CHECK_FALSE(one.is_watcher());
}
