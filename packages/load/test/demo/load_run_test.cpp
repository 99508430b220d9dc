#include <chrono>
#include <string>

#include <doctest/doctest.h>

#include <camphortide/load/demo/load_run.hpp>
#include <camphortide/standin/deployment/running_deployment.hpp>
#include <camphortide/transport/settings/deployment_file.hpp>

namespace load = camphortide::load;
namespace standin = camphortide::standin;
namespace transport = camphortide::transport;

TEST_CASE("a load run works with instances known only by address")
{
    auto file = transport::read_deployment_file("examples/bajio.jsonc");
    REQUIRE(file.ok());
    for (auto& traffic : file.m_value.m_traffic)
    {
        traffic.m_rate /= 4;
    }
    standin::running_deployment running(file.m_value, std::string(64, 'd'));
    REQUIRE(running.wait_ready(std::chrono::seconds(30)));
    load::load_options options;
    for (auto const& name : running.running())
    {
        auto const address = running.caller_address(name);
        options.m_instances.push_back({address, address});
    }
    options.m_duration = std::chrono::seconds(2);
    options.m_warm_up = load::run_time{0};
    auto const result =
        load::run_load(file.m_value, options,
                       [](load::run_time, load::driver_progress const&) {});
    CHECK(result.m_violations.empty());
    auto const& all = result.m_summary.m_all;
    CHECK(all.m_executed > 0);
    CHECK(all.m_from_replica > 0);
    CHECK(all.m_from_replica <= all.m_replica_allowed);
    CHECK(all.m_executed + all.m_rolled_back == all.m_requests);
}
