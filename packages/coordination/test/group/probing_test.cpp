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

/// A monitor whose members answer at once, as long as they live.
class answering_group
{
public:
    /// Runs the monitor's ticks for a while.
    /// @return when probes were sent to the primary, from the start
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

    /// @return when probes were sent at once
    std::vector<state::duration> set_probe_interval(state::duration interval)
    {
        std::vector<state::duration> probed;
        answer(m_monitor.set_probe_interval(interval, m_now), probed);
        return probed;
    }

    void kill_primary()
    {
        m_primary_lives = false;
        m_died = m_now;
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
            if (!primary || m_primary_lives)
            {
                auto const silence =
                    m_primary_lives ? state::duration(0) : m_now - m_died;
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
    state::time_point m_died{};
    bool m_primary_lives = true;
};

} // namespace

TEST_CASE("a calm group is probed at the interval of the settings")
{
    answering_group group;
    group.run(state::duration(1000));
    CHECK(group.run(state::duration(4000)).size() == 10);
}

TEST_CASE("ages that are asked for bring more probes, within bounds")
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

TEST_CASE("an answer that waits for a probe gets it at once after a while")
{
    answering_group group;
    group.run(state::duration(1150));
    CHECK(group.set_probe_interval(state::duration::zero()).size() == 1);
    CHECK(group.set_probe_interval(state::duration::max()).empty());
    CHECK(group.set_probe_interval(state::duration::zero()).empty());
    CHECK(group.run(state::duration(100)).size() == 1);
}

TEST_CASE("a late primary is probed at once, whatever the interval")
{
    answering_group group;
    group.run(state::duration(1000));
    group.kill_primary();
    group.run(state::duration(700));
    CHECK(group.monitor().promotions() == 1);
}

TEST_CASE("a primary that dies is found as soon at either interval")
{
    for (auto const wanted : {state::duration(100), state::duration::max()})
    {
        answering_group group;
        group.set_probe_interval(wanted);
        group.run(state::duration(1010));
        group.kill_primary();
        auto const probed = group.run(state::duration(560));
        CHECK(group.monitor().assess_primary(state::time_point(state::duration(
                  1570))) == coordination::primary_health::failed);
        CHECK(probed.size() >= 2);
    }
}
