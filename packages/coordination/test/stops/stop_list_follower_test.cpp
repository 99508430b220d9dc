#include <variant>

#include <doctest/doctest.h>

#include <camphortide/coordination/fleet/stop_list_follower.hpp>

namespace coordination = camphortide::coordination;
namespace state = camphortide::state;
using coordination::stop_list_follower;

namespace
{

state::stop_list list(std::uint64_t version, std::string const& target)
{
    state::planned_stop stop;
    stop.m_id = target;
    stop.m_target = target;
    return {version, {stop}};
}

struct list_fixture
{
    state::time_point m_now{state::duration(1000)};
    stop_list_follower m_follower{coordination::stop_list_settings(), "own", 7,
                                  m_now};

    void view(bool is_watcher)
    {
        std::vector<state::instance_record> instances(7);
        for (std::size_t index = 0; index < instances.size(); ++index)
        {
            instances[index].m_name = std::to_string(index);
        }
        instances[6].m_name = "own";
        m_follower.on_view(instances, is_watcher, 2);
    }
};

} // namespace

TEST_CASE_FIXTURE(list_fixture,
                  "only a watcher reads, with one read outstanding at a time")
{
    view(false);
    CHECK(m_follower.tick(m_now).empty());
    view(true);
    CHECK(m_follower.tick(m_now).size() == 1);
    m_now += state::duration(9'000);
    CHECK(m_follower.tick(m_now).empty());
    m_now += state::duration(2'000); // the read times out
    m_follower.tick(m_now);
    m_now += state::duration(4'000);
    CHECK(m_follower.tick(m_now).size() == 1);
}

TEST_CASE_FIXTURE(list_fixture,
                  "a new list is sent to peers, an equal one is not")
{
    view(true);
    auto const out = m_follower.on_store_list(list(5, "a"), m_now);
    CHECK(out.size() == 4);
    CHECK(m_follower.on_store_list(list(8, "a"), m_now).empty());
    CHECK(m_follower.list().m_version == 5);
    CHECK(m_follower.on_stops(list(9, "a")).empty());
    CHECK(m_follower.list().m_version == 9);
}

TEST_CASE_FIXTURE(list_fixture, "an older list is ignored")
{
    view(false);
    m_follower.on_stops(list(9, "a"));
    CHECK(m_follower.on_stops(list(8, "b")).empty());
    CHECK(m_follower.list() == list(9, "a"));
}

TEST_CASE_FIXTURE(list_fixture,
                  "a newer list is requested from a peer, one request at a "
                  "time")
{
    view(false);
    m_follower.on_stops(list(9, "a"));
    CHECK(m_follower.on_peer_version("1", 9, m_now).empty());
    auto const out = m_follower.on_peer_version("1", 10, m_now);
    REQUIRE(out.size() == 1);
    CHECK(std::get<coordination::request_stops>(out[0]).m_peer == "1");
    CHECK(m_follower.on_peer_version("2", 10, m_now).empty());
    m_now += state::duration(1'000);
    CHECK(m_follower.on_peer_version("2", 10, m_now).size() == 1);
}
