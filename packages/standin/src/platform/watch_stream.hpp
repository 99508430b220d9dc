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

/// The server's side of one watch. Lives until gRPC has let go of it.
class watch_stream : public grpc::ServerWriteReactor<platform::v1::WatchEvent>,
                     public std::enable_shared_from_this<watch_stream>
{
public:
    /// @param service told of the end; outlives the stream
    /// @param prefix what the names of the watched objects begin with
    watch_stream(platform_service& service, std::string prefix);

    /// Tells the client that the watch has begun, or refuses it. Called once.
    /// @param status OK, or why the watch is refused
    void start(grpc::Status const& status);

    /// Queues a change if its object is watched.
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
    bool m_writing = true; ///< the initial metadata or an event
    bool m_finishing = false;
    bool m_finished = false;
    grpc::Status m_status;
};

} // namespace camphortide::standin
