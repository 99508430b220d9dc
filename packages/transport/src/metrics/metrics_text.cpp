#include <limits>
#include <map>
#include <utility>

#include <prometheus/metric_family.h>
#include <prometheus/text_serializer.h>

#include <camphortide/transport/metrics/metrics_text.hpp>

namespace camphortide::transport
{

namespace
{

using prometheus::ClientMetric;
using prometheus::MetricFamily;
using prometheus::MetricType;

constexpr double ms_per_second = 1000;
constexpr std::size_t bucket_export_step = 4;

MetricFamily family(std::string const& name, std::string help, MetricType type)
{
    MetricFamily result;
    result.name = "camphortide_" + name;
    result.help = std::move(help);
    result.type = type;
    return result;
}

ClientMetric labelled(class_snapshot const& from)
{
    ClientMetric metric;
    metric.label = {{"customer", from.m_customer}, {"class", from.m_class}};
    return metric;
}

/// Converts a histogram. Exports only every fourth bucket bound.
ClientMetric::Histogram convert(histogram_snapshot const& from)
{
    auto const bounds = histogram_bounds();
    ClientMetric::Histogram result;
    result.sample_count = from.m_count;
    result.sample_sum = from.m_sum / ms_per_second;
    std::uint64_t cumulative = 0;
    for (std::size_t i = 0; i < bounds.size(); ++i)
    {
        cumulative += from.m_buckets[i];
        if (i % bucket_export_step == bucket_export_step - 1)
        {
            result.bucket.push_back({cumulative, bounds[i] / ms_per_second});
        }
    }
    result.bucket.push_back(
        {from.m_count, std::numeric_limits<double>::infinity()});
    return result;
}

MetricFamily histograms(std::string const& name, std::string help,
                        metrics_snapshot const& classes,
                        histogram_snapshot class_snapshot::*which)
{
    auto result = family(name, std::move(help), MetricType::Histogram);
    for (auto const& each : classes)
    {
        auto metric = labelled(each);
        metric.histogram = convert(each.*which);
        result.metric.push_back(std::move(metric));
    }
    return result;
}

void add_outcomes(MetricFamily& to, class_snapshot const& from)
{
    for (std::size_t i = 0; i < outcome_count; ++i)
    {
        for (std::size_t j = 0; j < reason_count; ++j)
        {
            if (from.m_outcomes[i][j] == 0)
            {
                continue;
            }
            auto const outcome = static_cast<state::outcome>(i);
            auto const reason = static_cast<state::reason>(j);
            auto metric = labelled(from);
            metric.label.push_back(
                {"outcome", std::string(state::to_string(outcome))});
            metric.label.push_back(
                {"reason", std::string(state::to_string(reason))});
            metric.counter.value = static_cast<double>(from.m_outcomes[i][j]);
            to.metric.push_back(std::move(metric));
        }
    }
}

void add_routes(MetricFamily& to, class_snapshot const& from)
{
    for (std::size_t i = 0; i < request_route_count; ++i)
    {
        auto metric = labelled(from);
        metric.label.push_back(
            {"route", std::string(to_string(static_cast<request_route>(i)))});
        metric.counter.value = static_cast<double>(from.m_routes[i]);
        to.metric.push_back(std::move(metric));
    }
}

std::vector<MetricFamily> convert(std::span<gauge_sample const> gauges)
{
    std::map<std::string, MetricFamily> by_name;
    for (auto const& each : gauges)
    {
        auto const [found, added] = by_name.try_emplace(each.m_name);
        if (added)
        {
            found->second = family(each.m_name, each.m_help, MetricType::Gauge);
        }
        ClientMetric metric;
        for (auto const& label : each.m_labels)
        {
            metric.label.push_back({label.m_name, label.m_value});
        }
        metric.gauge.value = each.m_value;
        found->second.metric.push_back(std::move(metric));
    }
    std::vector<MetricFamily> result;
    result.reserve(by_name.size());
    for (auto& [name, one] : by_name)
    {
        result.push_back(std::move(one));
    }
    return result;
}

} // namespace

std::string metrics_text(metrics_snapshot const& classes,
                         std::span<gauge_sample const> gauges)
{
    auto families = convert(gauges);
    families.push_back(histograms("request_latency_seconds",
                                  "Time from a request's arrival to its answer",
                                  classes, &class_snapshot::m_latency));
    families.push_back(histograms("queue_wait_seconds",
                                  "Time that a request waited for a slot",
                                  classes, &class_snapshot::m_queue_wait));
    families.push_back(histograms("answer_age_seconds",
                                  "Upper bound of the age of a read's data",
                                  classes, &class_snapshot::m_age));
    auto outcomes = family("requests_total", "Requests by outcome and reason",
                           MetricType::Counter);
    auto routes =
        family("request_routes_total", "Requests by where they were served",
               MetricType::Counter);
    for (auto const& each : classes)
    {
        add_outcomes(outcomes, each);
        add_routes(routes, each);
    }
    families.push_back(std::move(outcomes));
    families.push_back(std::move(routes));
    return prometheus::TextSerializer().Serialize(families);
}

} // namespace camphortide::transport
