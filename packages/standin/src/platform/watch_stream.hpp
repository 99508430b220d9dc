#pragma once

#include <deque>
#include <memory>
#include <mutex>
#include <string>

#include <grpcpp/grpcpp.h>

#include <camphortide/platform/v1/objects.pb.h>
#include <camphortide/standin/platform/object_store_model.hpp>

namespace camphortide::standin
{

class platform_service;

/// The server side of one watch. Keeps itself alive until gRPC calls OnDone.
class watch_stream : public grpc::ServerWriteReactor<platform::v1::WatchEvent>,
                     public std::enable_shared_from_this<watch_stream>
{
public:
    /// @param service is notified of the end; outlives the stream
    /// @param prefix of the names of the watched objects
    watch_stream(platform_service& service, std::string prefix);

    /// Confirms the watch to the client, or rejects it. Called once.
    /// @param status OK, or why the watch is rejected
    void start(grpc::Status const& status);

    /// Queues a change if the prefix matches its object.
    void send(object_change const& change);

    /// Ends the watch.
    void finish(grpc::Status const& status);

private:
    void OnSendInitialMetadataDone(bool ok) override;
    void OnWriteDone(bool ok) override;
    void OnCancel() override;
    void OnDone() override;
    void write_next();

    platform_service& m_service;
    std::string const m_prefix;
    std::shared_ptr<watch_stream> m_self;
    std::mutex m_mutex;
    std::deque<platform::v1::WatchEvent> m_events;
    bool m_writing = true; ///< initial metadata or an event in progress
    bool m_finishing = false;
    bool m_finished = false;
    grpc::Status m_status;
};

} // namespace camphortide::standin
