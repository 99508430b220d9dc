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

TEST_CASE_FIXTURE(running_fleet,
                  "a change is in force on all instances within a second")
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
    // All six watchers together read the head once a second.
    CHECK(m_calls - before < 90);
    CHECK(m_calls - before > 40);
    auto const chunks = m_chunk_reads;
    change(7);
    run(settling_time);
    CHECK(m_chunk_reads == chunks); // the head carries the new chunks
}

TEST_CASE_FIXTURE(running_fleet,
                  "a slow store delays a change by no more than its own "
                  "latency")
{
    m_store_delay = duration(3'000);
    run(settling_time);
    change(7);
    run(m_store_delay + expected_propagation);
    CHECK(all_have(2));
}

TEST_CASE_FIXTURE(running_fleet,
                  "reads make up for watches that deliver no events")
{
    for (std::size_t index = 0; index < 12; ++index)
    {
        m_without_watch_events.insert(name(index));
    }
    change(7);
    run(propagation_limit);
    CHECK(all_have(2));
}

TEST_CASE_FIXTURE(running_fleet,
                  "a change reaches all instances though some watchers are cut "
                  "off from the store")
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

TEST_CASE_FIXTURE(running_fleet,
                  "a change made when the store recovers is in force in time")
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

TEST_CASE_FIXTURE(running_fleet,
                  "a new instance becomes ready during an outage of the store")
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
                  "a new instance applies the newest version during an outage, "
                  "not the first that it is offered")
{
    // Isolates instance-3, so that only it receives version 2.
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
    kill(name(5)); // has version 1
    m_lost = [](std::string const& from, std::string const& to)
    {
        bool const is_new_instance = from == "newcomer" || to == "newcomer";
        return !is_new_instance && (from == name(3) || to == name(3));
    };
    start("newcomer", "data-centre-1");
    while (!at("newcomer").ready())
    {
        run(step);
    }
    CHECK(at("newcomer").version() == 2);
}

TEST_CASE_FIXTURE(running_fleet,
                  "a new instance that reaches neither the store nor most "
                  "peers does not become ready")
{
    fail_store();
    m_lost = [](std::string const& from, std::string const& to)
    {
        bool const is_new_instance = from == "newcomer" || to == "newcomer";
        return is_new_instance && from != name(1) && to != name(1);
    };
    start("newcomer", "data-centre-1");
    run(duration(60'000));
    CHECK_FALSE(at("newcomer").ready());
    m_lost = {};
    run(settling_time);
    CHECK(at("newcomer").version() == 1);
}

TEST_CASE_FIXTURE(running_fleet, "an older head from the store is ignored")
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

TEST_CASE_FIXTURE(running_fleet,
                  "during a partition only the side with the store gets new "
                  "versions, and the other catches up afterwards")
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

TEST_CASE("a store that recovers from an outage is not overloaded")
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

TEST_CASE("a damaged chunk from a peer is rejected")
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

TEST_CASE("a view that selects or deselects a watcher takes effect at once")
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
