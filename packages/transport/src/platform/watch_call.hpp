#pragma once

#include <condition_variable>
#include <cstdint>
#include <memory>
#include <mutex>
#include <random>
#include <string>

#include <grpcpp/alarm.h>
#include <grpcpp/grpcpp.h>

#include <camphortide/platform/v1/objects.grpc.pb.h>
#include <camphortide/transport/platform/backoff.hpp>
#include <camphortide/transport/platform/platform_client.hpp>

namespace camphortide::transport
{

/// One watch with its consecutive attempts (streams). An attempt shares
/// ownership, so the call outlives the handle that stopped it.
class watch_call : public std::enable_shared_from_this<watch_call>
{
public:
    /// @param stub shared with the client
    watch_call(std::shared_ptr<platform::v1::Objects::Stub> stub,
               std::string prefix, std::uint64_t after_version,
               watch_handlers handlers);

    /// Starts the first attempt.
    void start();

    /// Ends the watch, and waits until gRPC has released it; afterwards no
    /// handler is called. Releases the channel on the calling thread.
    void stop();

private:
    class attempt;

    void open();
    void on_opened();
    void on_changed(platform::v1::WatchEvent const& event);
    void release_attempt();
    void on_broken();

    std::shared_ptr<platform::v1::Objects::Stub> m_stub;
    std::string const m_prefix;
    watch_handlers const m_handlers;

    std::mutex m_mutex; ///< held while a handler runs
    std::uint64_t m_after_version;
    bool m_stopped = false;
    bool m_connected = false;
    bool m_running = false; ///< an attempt has not ended
    std::condition_variable m_ended;
    std::shared_ptr<attempt> m_attempt;
    std::shared_ptr<grpc::Alarm> m_alarm;
    backoff m_backoff;
    std::minstd_rand m_random;
};

} // namespace camphortide::transport
