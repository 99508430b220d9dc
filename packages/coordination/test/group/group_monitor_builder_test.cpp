#include <string>
#include <vector>

#include <doctest/doctest.h>

#include <camphortide/coordination/group/group_monitor_builder.hpp>

namespace state = camphortide::state;
using camphortide::coordination::group_monitor_builder;
using camphortide::coordination::group_settings;

namespace
{

group_monitor_builder valid_builder()
{
    return group_monitor_builder().proposer("p").tag(1).members(
        {"a", "b", "c"});
}

} // namespace

TEST_CASE("a monitor is built from valid values only")
{
    CHECK(valid_builder().build().ok());
    group_settings no_interval;
    no_interval.m_probe_interval = state::duration(0);
    group_settings no_timeout;
    no_timeout.m_suspicion = state::duration(0);
    group_settings no_wait;
    no_wait.m_broken_suspicion = state::duration(0);
    group_monitor_builder const rows[] = {valid_builder().proposer(""),
                                          valid_builder().members({}),
                                          valid_builder().members({"a", "a"}),
                                          valid_builder().members({"a", ""}),
                                          valid_builder().settings(no_interval),
                                          valid_builder().settings(no_timeout),
                                          valid_builder().settings(no_wait)};
    for (auto const& row : rows)
    {
        CHECK(absl::IsInvalidArgument(row.build().status()));
    }
}
