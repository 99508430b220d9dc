#pragma once

#include <functional>

#include <camphortide/admin/v1/admin.grpc.pb.h>
#include <camphortide/transport/metrics/metrics_registry.hpp>

namespace camphortide::transport
{

/// The gRPC service for operators: status and metrics.
class admin_service final : public admin::v1::Admin::CallbackService
{
public:
    using status_handler = std::function<void(admin::v1::StatusReply)>;
    using status_source = std::function<void(status_handler)>;

    /// @param status builds the status reply and passes it to its handler, on
    ///     any thread
    /// @param metrics outlives this
    admin_service(status_source status, metrics_registry const& metrics);

    grpc::ServerUnaryReactor* Status(grpc::CallbackServerContext* context,
                                     admin::v1::StatusRequest const* request,
                                     admin::v1::StatusReply* reply) override;

    grpc::ServerUnaryReactor* Metrics(grpc::CallbackServerContext* context,
                                      admin::v1::MetricsRequest const* request,
                                      admin::v1::MetricsReply* reply) override;

private:
    status_source const m_status;
    metrics_registry const& m_metrics;
};

} // namespace camphortide::transport
