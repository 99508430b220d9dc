#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include <grpcpp/grpcpp.h>

#include <camphortide/platform/v1/objects.grpc.pb.h>
#include <camphortide/standin/platform/call_admission.hpp>
#include <camphortide/standin/platform/instance_list_model.hpp>
#include <camphortide/standin/platform/object_store_model.hpp>

namespace camphortide::standin
{

class watch_stream;

/// Serves the models over gRPC; one mutex guards them.
class platform_service : public platform::v1::Objects::CallbackService
{
public:
    grpc::ServerUnaryReactor* Get(grpc::CallbackServerContext* context,
                                  platform::v1::GetRequest const* request,
                                  platform::v1::Object* reply) override;
    grpc::ServerUnaryReactor* List(grpc::CallbackServerContext* context,
                                   platform::v1::ListRequest const* request,
                                   platform::v1::ListReply* reply) override;
    grpc::ServerUnaryReactor* Put(grpc::CallbackServerContext* context,
                                  platform::v1::PutRequest const* request,
                                  platform::v1::Object* reply) override;
    grpc::ServerUnaryReactor* Delete(grpc::CallbackServerContext* context,
                                     platform::v1::DeleteRequest const* request,
                                     platform::v1::DeleteReply* reply) override;
    grpc::ServerUnaryReactor*
    ListInstances(grpc::CallbackServerContext* context,
                  platform::v1::InstancesRequest const* request,
                  platform::v1::InstancesReply* reply) override;
    grpc::ServerWriteReactor<platform::v1::WatchEvent>*
    Watch(grpc::CallbackServerContext* context,
          platform::v1::WatchRequest const* request) override;

    /// Changes an object and notifies the watches, unaffected by faults and
    /// rates.
    change_result change_object(std::string const& name,
                                std::uint64_t if_version, std::string value);

    /// Breaks every open watch.
    void break_watches();

    /// Removes a watch that has ended.
    void watch_ended(watch_stream const* stream);

    // The models and faults, guarded by m_mutex.
    mutable std::mutex m_mutex;
    object_store_model m_store;
    instance_list_model m_instances;
    call_admission m_admission;
    state::duration m_delay{};
    std::uint32_t m_lost_replies = 0;

    std::unique_ptr<grpc::Server> m_server;

private:
    grpc::Status admit(platform_call call);
    grpc::Status complete_change(change_result const& result);
    void notify_watches(object_change const& change);
    grpc::ServerUnaryReactor* finish(grpc::CallbackServerContext* context,
                                     grpc::Status const& status);

    std::vector<std::shared_ptr<watch_stream>> m_watches;
};

} // namespace camphortide::standin
