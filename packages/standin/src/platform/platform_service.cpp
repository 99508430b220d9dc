#include "platform_service.hpp"

#include "watch_stream.hpp"

#include <algorithm>
#include <array>
#include <chrono>
#include <memory>
#include <utility>

#include <grpcpp/alarm.h>

namespace camphortide::standin
{

namespace
{

grpc::Status to_status(store_error error)
{
    static std::array<grpc::Status, 4> const statuses{
        grpc::Status(grpc::StatusCode::NOT_FOUND, "no such object"),
        grpc::Status(grpc::StatusCode::FAILED_PRECONDITION, "version differs"),
        grpc::Status(grpc::StatusCode::INVALID_ARGUMENT, "value too large"),
        grpc::Status(grpc::StatusCode::INVALID_ARGUMENT, "name is empty")};
    return statuses.at(static_cast<std::size_t>(error));
}

void copy(stored_object const& from, platform::v1::Object& to)
{
    to.set_name(from.m_name);
    to.set_version(from.m_version);
    to.set_value(from.m_value);
}

/// Finishes a call after a delay, then deletes itself.
class delayed_finish
{
public:
    static void begin(grpc::ServerUnaryReactor* reactor,
                      grpc::Status const& status, state::duration delay)
    {
        auto* const self = std::make_unique<delayed_finish>().release();
        self->m_alarm.Set(std::chrono::system_clock::now() + delay,
                          [self, reactor, status](bool)
                          {
                              std::unique_ptr<delayed_finish> const owner(self);
                              reactor->Finish(status);
                          });
    }

private:
    grpc::Alarm m_alarm;
};

} // namespace

grpc::Status platform_service::admit(platform_call call)
{
    switch (m_admission.admit(call, state::clock::now()))
    {
    case call_decision::outage:
        return {grpc::StatusCode::UNAVAILABLE, "outage"};
    case call_decision::rate_limited:
        return {grpc::StatusCode::RESOURCE_EXHAUSTED, "rate limit"};
    case call_decision::admitted:
        break;
    }
    return grpc::Status::OK;
}

grpc::Status platform_service::complete_change(change_result const& result)
{
    if (auto const* error = std::get_if<store_error>(&result))
    {
        return to_status(*error);
    }
    notify_watches(std::get<object_change>(result));
    if (m_lost_replies > 0)
    {
        --m_lost_replies;
        return {grpc::StatusCode::UNAVAILABLE, "reply lost"};
    }
    return grpc::Status::OK;
}

void platform_service::notify_watches(object_change const& change)
{
    for (auto const& watch : m_watches)
    {
        watch->send(change);
    }
}

grpc::ServerUnaryReactor*
platform_service::finish(grpc::CallbackServerContext* context,
                         grpc::Status const& status)
{
    auto* const reactor = context->DefaultReactor();
    if (m_delay > state::duration::zero())
    {
        delayed_finish::begin(reactor, status, m_delay);
    }
    else
    {
        reactor->Finish(status);
    }
    return reactor;
}

grpc::ServerUnaryReactor*
platform_service::Get(grpc::CallbackServerContext* context,
                      platform::v1::GetRequest const* request,
                      platform::v1::Object* reply)
{
    std::scoped_lock const lock(m_mutex);
    auto status = admit(platform_call::get);
    if (status.ok())
    {
        auto const object = m_store.get(request->name());
        if (object)
        {
            copy(*object, *reply);
        }
        else
        {
            status = to_status(store_error::not_found);
        }
    }
    return finish(context, status);
}

grpc::ServerUnaryReactor*
platform_service::List(grpc::CallbackServerContext* context,
                       platform::v1::ListRequest const* request,
                       platform::v1::ListReply* reply)
{
    std::scoped_lock const lock(m_mutex);
    auto const status = admit(platform_call::list);
    if (status.ok())
    {
        for (auto const& object : m_store.list(request->prefix()))
        {
            copy(object, *reply->add_objects());
        }
        reply->set_version(m_store.version());
    }
    return finish(context, status);
}

grpc::ServerUnaryReactor*
platform_service::Put(grpc::CallbackServerContext* context,
                      platform::v1::PutRequest const* request,
                      platform::v1::Object* reply)
{
    std::scoped_lock const lock(m_mutex);
    auto status = admit(platform_call::put);
    if (status.ok())
    {
        auto const result = m_store.put(request->name(), request->if_version(),
                                        request->value());
        status = complete_change(result);
        if (status.ok())
        {
            copy(std::get<object_change>(result).m_object, *reply);
        }
    }
    return finish(context, status);
}

grpc::ServerUnaryReactor*
platform_service::Delete(grpc::CallbackServerContext* context,
                         platform::v1::DeleteRequest const* request,
                         platform::v1::DeleteReply* reply)
{
    std::scoped_lock const lock(m_mutex);
    auto status = admit(platform_call::erase);
    if (status.ok())
    {
        auto const result =
            m_store.erase(request->name(), request->if_version());
        status = complete_change(result);
        if (status.ok())
        {
            reply->set_version(
                std::get<object_change>(result).m_object.m_version);
        }
    }
    return finish(context, status);
}

grpc::ServerUnaryReactor*
platform_service::ListInstances(grpc::CallbackServerContext* context,
                                platform::v1::InstancesRequest const*,
                                platform::v1::InstancesReply* reply)
{
    std::scoped_lock const lock(m_mutex);
    auto const status = admit(platform_call::instances);
    if (status.ok())
    {
        for (auto const& each : m_instances.list(state::clock::now()))
        {
            auto& message = *reply->add_instances();
            message.set_name(each.m_name);
            message.set_data_centre(each.m_data_centre);
            message.set_address(each.m_address);
            message.set_state(each.m_leaving
                                  ? platform::v1::INSTANCE_STATE_LEAVING
                                  : platform::v1::INSTANCE_STATE_LIVE);
        }
    }
    return finish(context, status);
}

grpc::ServerWriteReactor<platform::v1::WatchEvent>*
platform_service::Watch(grpc::CallbackServerContext*,
                        platform::v1::WatchRequest const* request)
{
    std::scoped_lock const lock(m_mutex);
    auto const stream =
        std::make_shared<watch_stream>(*this, request->prefix());
    auto const status = admit(platform_call::watch);
    stream->start(status);
    if (!status.ok())
    {
        return stream.get();
    }
    for (auto const& change :
         m_store.changes_after(request->prefix(), request->after_version()))
    {
        stream->send(change);
    }
    m_watches.push_back(stream);
    return stream.get();
}

change_result platform_service::change_object(std::string const& name,
                                              std::uint64_t if_version,
                                              std::string value)
{
    std::scoped_lock const lock(m_mutex);
    auto result = m_store.put(name, if_version, std::move(value));
    if (auto const* change = std::get_if<object_change>(&result))
    {
        notify_watches(*change);
    }
    return result;
}

void platform_service::break_watches()
{
    std::scoped_lock const lock(m_mutex);
    for (auto const& watch : m_watches)
    {
        watch->finish({grpc::StatusCode::UNAVAILABLE, "outage"});
    }
}

void platform_service::watch_ended(watch_stream const* stream)
{
    std::scoped_lock const lock(m_mutex);
    auto const found = std::find_if(m_watches.begin(), m_watches.end(),
                                    [stream](auto const& each)
                                    { return each.get() == stream; });
    if (found != m_watches.end())
    {
        m_watches.erase(found);
        m_admission.watch_closed();
    }
}

} // namespace camphortide::standin
