#include <string>
#include <thread>
#include <vector>

#include <doctest/doctest.h>

#include <camphortide/transport/metrics/metrics_registry.hpp>
#include <camphortide/transport/metrics/metrics_text.hpp>

namespace transport = camphortide::transport;
namespace state = camphortide::state;
using transport::request_route;
using transport::request_sample;
using transport::sample_time;

namespace
{

request_sample executed(double latency_ms)
{
    request_sample sample;
    sample.m_route = request_route::replica;
    sample.m_latency = sample_time(latency_ms);
    return sample;
}

bool has_line(std::string const& page, std::string const& line)
{
    return page.find(line + "\n") != std::string::npos;
}

} // namespace

TEST_CASE("samples are separated by customer and class")
{
    transport::metrics_registry registry;
    registry.find_or_create("b", "y").record(executed(2));
    registry.find_or_create("a", "y").record(executed(4));
    registry.find_or_create("a", "x").record(executed(6));
    registry.find_or_create("a", "x").record(executed(8));
    auto const all = registry.snapshot();
    REQUIRE(all.size() == 3);
    CHECK(all[0].m_customer == "a");
    CHECK(all[0].m_class == "x");
    CHECK(all[0].m_latency.m_count == 2);
    CHECK(all[0].m_latency.mean() == doctest::Approx(7));
    CHECK(all[0].m_latency.m_max == 8);
    CHECK(all[2].m_customer == "b");
    CHECK(&registry.find_or_create("a", "x") ==
          &registry.find_or_create("a", "x"));
}

TEST_CASE("outcomes, reasons, routes and optional times are counted")
{
    transport::metrics_registry registry;
    auto& metrics = registry.find_or_create("a", "x");
    auto read = executed(5);
    read.m_queue_wait = sample_time(1);
    read.m_age = sample_time(30);
    metrics.record(read);
    request_sample refused;
    refused.m_outcome = state::outcome::not_executed;
    refused.m_reason = state::reason::queue_full;
    metrics.record(refused);
    metrics.record(refused);
    auto const snapshot = metrics.snapshot();
    CHECK(snapshot.count(state::outcome::executed) == 1);
    CHECK(snapshot.count(state::outcome::not_executed) == 2);
    CHECK(snapshot.count(state::outcome::not_executed,
                         state::reason::queue_full) == 2);
    CHECK(snapshot.count(state::outcome::unknown) == 0);
    CHECK(snapshot.count(request_route::replica) == 1);
    CHECK(snapshot.count(request_route::none) == 2);
    CHECK(snapshot.m_latency.m_count == 3);
    CHECK(snapshot.m_queue_wait.m_count == 1);
    CHECK(snapshot.m_age.mean() == doctest::Approx(30));
}

TEST_CASE("quantiles are within one bucket of the exact ones")
{
    transport::class_metrics metrics("a", "x");
    CHECK(metrics.snapshot().m_latency.quantile(0.5) == 0);
    for (int i = 1; i <= 1000; ++i)
    {
        metrics.record(executed(i));
    }
    auto const latency = metrics.snapshot().m_latency;
    for (double const fraction : {0.01, 0.5, 0.9, 0.99, 1.0})
    {
        CHECK(latency.quantile(fraction) ==
              doctest::Approx(1000 * fraction).epsilon(0.25));
    }
    metrics.record(executed(1e9));
    CHECK(metrics.snapshot().m_latency.quantile(1) == 1e9);
}

TEST_CASE("no sample of any thread is lost")
{
    constexpr int threads = 12;
    constexpr int samples = 2000;
    transport::metrics_registry registry;
    std::vector<std::thread> running;
    running.reserve(threads);
    for (int i = 0; i < threads; ++i)
    {
        running.emplace_back(
            [&registry]
            {
                for (int j = 0; j < samples; ++j)
                {
                    registry.find_or_create("a", j % 2 == 0 ? "x" : "y")
                        .record(executed(1));
                    if (j % 500 == 0)
                    {
                        registry.snapshot();
                    }
                }
            });
    }
    for (auto& each : running)
    {
        each.join();
    }
    auto const all = registry.snapshot();
    REQUIRE(all.size() == 2);
    CHECK(all[0].m_latency.m_count == threads * samples / 2);
    CHECK(all[1].count(state::outcome::executed) == threads * samples / 2);
}

TEST_CASE("the text page is in the exposition format")
{
    transport::metrics_registry registry;
    auto sample = executed(1000);
    registry.find_or_create("a", "x\"y").record(sample);
    sample.m_outcome = state::outcome::not_executed;
    sample.m_reason = state::reason::rate_limit;
    registry.find_or_create("a", "x\"y").record(sample);
    std::vector<transport::gauge_sample> const gauges{
        {"connections", "Open connections", {{"member", "m1"}}, 7},
        {"connections", "Open connections", {{"member", "m2"}}, 9},
    };
    auto const page = transport::metrics_text(registry.snapshot(), gauges);
    CHECK(has_line(page, "# TYPE camphortide_connections gauge"));
    CHECK(has_line(page, "camphortide_connections{member=\"m2\"} 9"));
    CHECK(
        has_line(page, "# TYPE camphortide_request_latency_seconds histogram"));
    CHECK(has_line(page, "camphortide_request_latency_seconds_count"
                         "{customer=\"a\",class=\"x\\\"y\"} 2"));
    CHECK(has_line(page, "camphortide_request_latency_seconds_sum"
                         "{customer=\"a\",class=\"x\\\"y\"} 2"));
    CHECK(has_line(page, "camphortide_request_latency_seconds_bucket"
                         "{customer=\"a\",class=\"x\\\"y\",le=\"+Inf\"} 2"));
    CHECK(has_line(page,
                   "camphortide_requests_total{customer=\"a\",class=\"x\\\"y\","
                   "outcome=\"not_executed\",reason=\"rate_limit\"} 1"));
    CHECK(has_line(page, "camphortide_request_routes_total{customer=\"a\","
                         "class=\"x\\\"y\",route=\"replica\"} 2"));
}
