#include <chrono>

#include <doctest/doctest.h>

#include <camphortide/load/demo/demo_run.hpp>
#include <camphortide/transport/settings/deployment_file.hpp>

namespace load = camphortide::load;
namespace transport = camphortide::transport;

namespace
{

load::run_result run_with(char const* fault)
{
    auto file =
        transport::read_deployment_file("examples/caxias-serrana.jsonc");
    REQUIRE(file.ok());
    for (auto& traffic : file.m_value.m_traffic)
    {
        traffic.m_rate /= 4;
    }
    load::demo_options options;
    options.m_duration = std::chrono::seconds(3);
    options.m_warm_up = load::run_time{0};
    options.m_fault_at = std::chrono::seconds(1);
    options.m_fault_duration = std::chrono::seconds(1);
    options.m_faults = {fault};
    return load::run_demo(file.m_value, options,
                          [](load::run_time, load::driver_progress const&) {});
}

} // namespace

TEST_CASE("every fault has a unique name")
{
    for (auto const& each : load::fault_injector::faults())
    {
        CHECK(load::fault_injector::find(each.m_name) == &each);
    }
    CHECK(load::fault_injector::find("nothing") == nullptr);
}

TEST_CASE("no guarantee is violated when a primary is lost")
{
    auto const result = run_with("primary-kill");
    REQUIRE(result.m_started);
    CHECK(result.m_violations.empty());
    CHECK(result.m_groups_without_primary.empty());
    CHECK(result.m_summary.m_all.m_executed > 0);
    CHECK(result.m_summary.m_failover_gaps.size() == 1);
}

TEST_CASE("no guarantee is violated when an instance is lost")
{
    auto const result = run_with("instance-kill");
    REQUIRE(result.m_started);
    CHECK(result.m_violations.empty());
    CHECK(result.m_groups_without_primary.empty());
}
