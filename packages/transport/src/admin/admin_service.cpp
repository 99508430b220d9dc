#include <string>
#include <string_view>
#include <utility>

#include <camphortide/transport/admin/admin_service.hpp>
#include <camphortide/transport/metrics/metrics_text.hpp>

namespace camphortide::transport
{

namespace
{

void fill(admin::v1::Histogram& message, histogram_snapshot const& value)
{
    for (double const bound : histogram_bounds())
    {
        message.add_bounds(bound);
    }
    for (auto const count : value.m_buckets)
    {
        message.add_counts(count);
    }
    message.set_count(value.m_count);
    message.set_sum(value.m_sum);
}

void add_counter(
    google::protobuf::RepeatedPtrField<admin::v1::Counter>& counters,
    std::string_view name, std::uint64_t value)
{
    if (value == 0)
    {
        return;
    }
    auto& counter = *counters.Add();
    counter.set_name(std::string(name));
    counter.set_value(value);
}

void fill(admin::v1::ClassMetrics& message, class_snapshot const& value)
{
    message.set_customer(value.m_customer);
    message.set_traffic_class(value.m_class);
    fill(*message.mutable_latency(), value.m_latency);
    fill(*message.mutable_queue_wait(), value.m_queue_wait);
    fill(*message.mutable_answer_age(), value.m_age);
    for (auto const outcome :
         {state::outcome::executed, state::outcome::not_executed,
          state::outcome::unknown})
    {
        add_counter(*message.mutable_outcomes(), to_string(outcome),
                    value.count(outcome));
        for (std::size_t code = 1; code < reason_count; ++code)
        {
            auto const reason = static_cast<state::reason>(code);
            if (reason != state::reason::none)
            {
                add_counter(*message.mutable_limits(), to_string(reason),
                            value.count(outcome, reason));
            }
        }
    }
    for (auto const route : {request_route::none, request_route::primary,
                             request_route::replica, request_route::forwarded})
    {
        add_counter(*message.mutable_routing(), to_string(route),
                    value.count(route));
    }
}

} // namespace

admin_service::admin_service(status_source status,
                             metrics_registry const& metrics)
    : m_status(std::move(status)),
      m_metrics(metrics)
{
}

grpc::ServerUnaryReactor*
admin_service::Status(grpc::CallbackServerContext* context,
                      admin::v1::StatusRequest const*,
                      admin::v1::StatusReply* reply)
{
    auto* const reactor = context->DefaultReactor();
    m_status(
        [reactor, reply](admin::v1::StatusReply answer)
        {
            *reply = std::move(answer);
            reactor->Finish(grpc::Status::OK);
        });
    return reactor;
}

grpc::ServerUnaryReactor*
admin_service::Metrics(grpc::CallbackServerContext* context,
                       admin::v1::MetricsRequest const* request,
                       admin::v1::MetricsReply* reply)
{
    auto* const reactor = context->DefaultReactor();
    auto const snapshot = m_metrics.snapshot();
    for (auto const& value : snapshot)
    {
        fill(*reply->add_classes(), value);
    }
    if (request->text())
    {
        reply->set_text(metrics_text(snapshot, {}));
    }
    reactor->Finish(grpc::Status::OK);
    return reactor;
}

} // namespace camphortide::transport
