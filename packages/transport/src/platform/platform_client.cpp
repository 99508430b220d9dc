#include "watch_call.hpp"

#include <algorithm>
#include <chrono>
#include <condition_variable>
#include <mutex>
#include <set>
#include <utility>

#include <grpcpp/grpcpp.h>

#include <camphortide/platform/v1/objects.grpc.pb.h>
#include <camphortide/transport/platform/client_credentials.hpp>
#include <camphortide/transport/platform/platform_client.hpp>

namespace camphortide::transport
{

namespace
{

constexpr int message_limit = 16 << 20; ///< bytes; a list can hold many objects
constexpr int keepalive_time = 10000;   ///< milliseconds
constexpr int keepalive_timeout = 5000; ///< milliseconds
constexpr int max_reconnect_interval = 1000; ///< milliseconds

std::shared_ptr<platform::v1::Objects::Stub>
make_stub(std::string const& address, std::string const& authority_file)
{
    grpc::ChannelArguments arguments;
    arguments.SetMaxReceiveMessageSize(message_limit);
    arguments.SetInt(GRPC_ARG_KEEPALIVE_TIME_MS, keepalive_time);
    arguments.SetInt(GRPC_ARG_KEEPALIVE_TIMEOUT_MS, keepalive_timeout);
    arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, max_reconnect_interval);
    return platform::v1::Objects::NewStub(grpc::CreateCustomChannel(
        address, client_credentials(authority_file), arguments));
}

/// Whether a call reads or changes the store.
enum class call_kind
{
    read,
    change
};

/// Converts a call's status. A change without a reply may have been made, so
/// its status becomes kUnknown.
absl::Status to_status(grpc::Status const& status, call_kind kind)
{
    auto code = static_cast<absl::StatusCode>(status.error_code());
    bool const refused =
        failure_of(absl::Status(code, "")) != platform_failure::unavailable &&
        code != absl::StatusCode::kCancelled;
    if (kind == call_kind::change && !status.ok() && !refused)
    {
        code = absl::StatusCode::kUnknown;
    }
    else if (kind == call_kind::read && code == absl::StatusCode::kUnknown)
    {
        code = absl::StatusCode::kUnavailable;
    }
    return {code, status.error_message()};
}

platform_object from_proto(platform::v1::Object const& message)
{
    return {message.name(), message.version(), message.value()};
}

platform_objects from_proto(platform::v1::ListReply const& message)
{
    platform_objects value;
    value.m_version = message.version();
    for (auto const& each : message.objects())
    {
        value.m_objects.push_back(from_proto(each));
    }
    return value;
}

std::uint64_t from_proto(platform::v1::DeleteReply const& message)
{
    return message.version();
}

std::vector<platform_instance>
from_proto(platform::v1::InstancesReply const& message)
{
    std::vector<platform_instance> value;
    for (auto const& each : message.instances())
    {
        value.push_back({each.name(), each.data_centre(), each.address(),
                         each.state() == platform::v1::INSTANCE_STATE_LEAVING});
    }
    return value;
}

/// The handle of a watch.
class watch_handle : public platform_watch
{
public:
    explicit watch_handle(std::shared_ptr<watch_call> call)
        : m_call(std::move(call))
    {
    }
    ~watch_handle() override { m_call->stop(); }

private:
    std::shared_ptr<watch_call> m_call;
};

} // namespace

/// The stub and the running calls.
class platform_client::calls
{
public:
    calls(std::string const& address, state::duration timeout,
          std::string const& authority_file)
        : m_stub(make_stub(address, authority_file)),
          m_timeout(timeout)
    {
    }

    /// Starts one unary call.
    /// @param method starts the call on the stub
    template <typename Reply, typename Value, typename Request, typename Method>
    void run(Request request, call_kind kind, Method method,
             platform_callback<Value> const& done)
    {
        struct call
        {
            grpc::ClientContext m_context;
            Request m_request;
            Reply m_reply;
        };
        auto running = std::make_shared<call>();
        running->m_request = std::move(request);
        running->m_context.set_deadline(std::chrono::system_clock::now() +
                                        m_timeout);
        begin(running->m_context);
        method(m_stub->async(), &running->m_context, &running->m_request,
               &running->m_reply,
               [this, running, kind, done](grpc::Status const& status) mutable
               {
                   if (status.ok())
                   {
                       done(from_proto(running->m_reply));
                   }
                   else
                   {
                       done(to_status(status, kind));
                   }
                   // A context holds a reference to the channel. The last one
                   // must not be released on a gRPC thread: that thread would
                   // join itself.
                   remove(running->m_context);
                   running.reset();
                   end();
               });
    }

    /// Cancels the running calls and waits until they have ended.
    void close()
    {
        std::unique_lock lock(m_mutex);
        for (auto* const context : m_running)
        {
            context->TryCancel();
        }
        m_idle.wait(lock, [this] { return m_unfinished == 0; });
    }

    std::shared_ptr<platform::v1::Objects::Stub> const& stub() const
    {
        return m_stub;
    }

private:
    void begin(grpc::ClientContext& context)
    {
        std::scoped_lock const lock(m_mutex);
        m_running.insert(&context);
        ++m_unfinished;
    }

    void remove(grpc::ClientContext& context)
    {
        std::scoped_lock const lock(m_mutex);
        m_running.erase(&context);
    }

    void end()
    {
        std::scoped_lock const lock(m_mutex);
        --m_unfinished;
        m_idle.notify_all();
    }

    std::shared_ptr<platform::v1::Objects::Stub> m_stub;
    state::duration m_timeout;
    std::mutex m_mutex;
    std::condition_variable m_idle;
    std::set<grpc::ClientContext*> m_running;
    std::size_t m_unfinished = 0; ///< calls that have not ended
};

platform_client::platform_client(std::string const& address,
                                 state::duration timeout,
                                 std::string const& authority_file)
    : m_calls(std::make_shared<calls>(address, timeout, authority_file))
{
}

platform_client::~platform_client()
{
    m_calls->close();
}

void platform_client::get(std::string const& name,
                          platform_callback<platform_object> const& done)
{
    platform::v1::GetRequest request;
    request.set_name(name);
    m_calls->run<platform::v1::Object, platform_object>(
        std::move(request), call_kind::read,
        [](auto* stub, auto... call) { stub->Get(call...); }, done);
}

void platform_client::list(std::string const& prefix,
                           platform_callback<platform_objects> const& done)
{
    platform::v1::ListRequest request;
    request.set_prefix(prefix);
    m_calls->run<platform::v1::ListReply, platform_objects>(
        std::move(request), call_kind::read,
        [](auto* stub, auto... call) { stub->List(call...); }, done);
}

void platform_client::put(std::string const& name, std::uint64_t if_version,
                          std::string value,
                          platform_callback<platform_object> const& done)
{
    platform::v1::PutRequest request;
    request.set_name(name);
    request.set_if_version(if_version);
    request.set_value(std::move(value));
    m_calls->run<platform::v1::Object, platform_object>(
        std::move(request), call_kind::change,
        [](auto* stub, auto... call) { stub->Put(call...); }, done);
}

void platform_client::erase(std::string const& name, std::uint64_t if_version,
                            platform_callback<std::uint64_t> const& done)
{
    platform::v1::DeleteRequest request;
    request.set_name(name);
    request.set_if_version(if_version);
    m_calls->run<platform::v1::DeleteReply, std::uint64_t>(
        std::move(request), call_kind::change,
        [](auto* stub, auto... call) { stub->Delete(call...); }, done);
}

void platform_client::list_instances(
    platform_callback<std::vector<platform_instance>> const& done)
{
    m_calls->run<platform::v1::InstancesReply, std::vector<platform_instance>>(
        platform::v1::InstancesRequest{}, call_kind::read,
        [](auto* stub, auto... call) { stub->ListInstances(call...); }, done);
}

std::unique_ptr<platform_watch>
platform_client::watch(std::string const& prefix, std::uint64_t after_version,
                       watch_handlers handlers)
{
    auto call = std::make_shared<watch_call>(
        m_calls->stub(), prefix, after_version, std::move(handlers));
    call->start();
    return std::make_unique<watch_handle>(std::move(call));
}

} // namespace camphortide::transport
