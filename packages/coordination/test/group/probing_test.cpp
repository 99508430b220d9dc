#include <algorithm>
#include <string>
#include <variant>
#include <vector>

#include <doctest/doctest.h>

#include <camphortide/coordination/group/group_monitor.hpp>
#include <camphortide/coordination/group/group_monitor_builder.hpp>

namespace coordination = camphortide::coordination;
namespace state = camphortide::state;

namespace
{

state::member_status status_of(std::string const& member, std::uint64_t probe,
                               state::duration silence)
{
    state::member_status result;
    result.m_member = member;
    result.m_role = member == "a" ? state::member_role::primary
                                  : state::member_role::replica;
    result.m_granted = state::term(1);
    result.m_followed = state::term(1);
    result.m_probe = probe;
    result.m_primary_silence = silence;
    return result;
}

/// A monitor whose members answer immediately while they are running.
class answering_group
{
public:
    /// Advances the time and calls the monitor's tick.
    /// @return when probes were sent to the primary, as time since the start
    std::vector<state::duration> run(state::duration length)
    {
        std::vector<state::duration> probed;
        auto const end = m_now + length;
        while (m_now < end)
        {
            m_now += state::duration(10);
            answer(m_monitor.tick(m_now), probed);
        }
        return probed;
    }

    /// @return when probes were sent immediately
    std::vector<state::duration> set_probe_interval(state::duration interval)
    {
        std::vector<state::duration> probed;
        answer(m_monitor.set_probe_interval(interval, m_now), probed);
        return probed;
    }

    void stop_primary()
    {
        m_primary_running = false;
        m_stopped_at = m_now;
    }

    coordination::group_monitor const& monitor() const { return m_monitor; }

private:
    void answer(coordination::group_actions const& actions,
                std::vector<state::duration>& probed)
    {
        for (auto const& action : actions)
        {
            auto const* const probe =
                std::get_if<coordination::send_probe>(&action);
            if (probe == nullptr)
            {
                continue;
            }
            bool const primary = probe->m_member == "a";
            if (primary)
            {
                probed.push_back(m_now.time_since_epoch());
            }
            if (!primary || m_primary_running)
            {
                auto const silence = m_primary_running ? state::duration(0)
                                                       : m_now - m_stopped_at;
                m_monitor.status_received(
                    status_of(probe->m_member, probe->m_probe, silence), m_now);
            }
        }
    }

    coordination::group_monitor m_monitor =
        *coordination::group_monitor_builder()
             .proposer("test")
             .tag(1)
             .seed(1)
             .members({"a", "b", "c"})
             .build();
    state::time_point m_now{};
    state::time_point m_stopped_at{};
    bool m_primary_running = true;
};

} // namespace

TEST_CASE("a healthy group is probed at the interval of the settings")
{
    answering_group group;
    group.run(state::duration(1000));
    CHECK(group.run(state::duration(4000)).size() == 10);
}

TEST_CASE("a shorter interval increases the probe rate, within limits")
{
    answering_group group;
    group.run(state::duration(1000));
    group.set_probe_interval(state::duration(200));
    CHECK(group.run(state::duration(4000)).size() == 20);
    group.set_probe_interval(state::duration(1));
    CHECK(group.run(state::duration(4000)).size() == 40);
    group.set_probe_interval(state::duration::max());
    CHECK(group.run(state::duration(4000)).size() == 10);
}

TEST_CASE("a requested probe is sent once the minimum interval has passed")
{
    answering_group group;
    group.run(state::duration(1150));
    CHECK(group.set_probe_interval(state::duration::zero()).size() == 1);
    CHECK(group.set_probe_interval(state::duration::max()).empty());
    CHECK(group.set_probe_interval(state::duration::zero()).empty());
    CHECK(group.run(state::duration(100)).size() == 1);
}

TEST_CASE("an unresponsive primary is replaced whatever the interval")
{
    answering_group group;
    group.run(state::duration(1000));
    group.stop_primary();
    group.run(state::duration(700));
    CHECK(group.monitor().promotions() == 1);
}

TEST_CASE("a primary failure is detected equally fast at either interval")
{
    for (auto const interval : {state::duration(100), state::duration::max()})
    {
        answering_group group;
        group.set_probe_interval(interval);
        group.run(state::duration(1010));
        group.stop_primary();
        auto const probed = group.run(state::duration(560));
        CHECK(group.monitor().assess_primary(state::time_point(state::duration(
                  1570))) == coordination::primary_health::failed);
        CHECK(probed.size() >= 2);
    }
}
